//! Moves keys so that every target's load fits its capacity.
//!
//! The load of a target is its requests a second times the mean time of a request. The busiest target
//! gives the run of keys that takes it to the mean to the idlest one, or as much as that one lacks, until
//! none is far above the mean. Runs are taken from the ends of holdings where possible, since every
//! holding costs a call for each renewal. A key that fills much of a target by itself is never part of a
//! run: the other keys of its owner leave, and of several such keys of one owner all but one.

use std::cmp::Ordering;
use std::collections::HashMap;

use crate::demand::Demand;
use crate::membership::Incarnation;
use crate::ownership::Holding;
use crate::ownership::Move;
use crate::ownership::Table;
use crate::plan::Candidate;

/// Utilization from which a target's keys are moved away. Below it a target answers without a
/// queue to speak of, and a move would cost more than it gains.
const BUSY: f64 = 0.45;

/// Ratio of a target's utilization to the mean from which its keys are moved away.
const UNEVEN: f64 = 1.2;

/// Standard deviations by which a target's counted requests must exceed its part of all requests.
/// Chance alone would otherwise move keys all the time.
const CERTAINTY: f64 = 2.0;

/// Least number of moves in one plan, and the part of the targets that may be relieved in a larger fleet.
/// While a key moves, its requests wait for those that are running.
const MOVES: usize = 16;
const MOVES_PER_TARGET: f64 = 0.5;

/// Holdings for each target, and in a small fleet besides. Each is renewed by a call of its own; the
/// limit leaves room for one change of the whole pattern of demand.
const HOLDINGS_PER_TARGET: usize = 6;
const SPARE_HOLDINGS: usize = 32;

/// Holdings for each target from which small ones are joined with their neighbors, and the targets for
/// each one that is joined in a plan.
const CROWDED_PER_TARGET: usize = 4;
const JOINED_PER_TARGET: usize = 3;

/// Share of its owner's capacity from which a key is heavy: wherever it goes, it fills much of its owner.
const HEAVY: f64 = 0.5;

/// Part of its owner's capacity from which a key belongs on a faster target, and the ratio of the times
/// of two targets from which the other one counts as faster.
const FILLING: f64 = 0.85;
const FASTER: f64 = 0.75;

/// What an additional holding counts when runs are compared, as a part of the rate that is wanted.
const HOLDING_COST: f64 = 0.15;

/// Part of the wanted rate that a run must have: smaller ones are not worth the interruption.
const LEAST: f64 = 0.3;

/// Ratio to the wanted rate up to which a run may exceed it.
const EXCESS: f64 = 1.3;

/// A target and its load.
struct Side<'a> {
    candidate: &'a Candidate,
    /// Requests a second.
    rate: f64,
    /// Requests a second for heavy keys, each up to the owner's capacity.
    heavy: f64,
    /// Requests a second for heavy keys that the owner cannot serve.
    excess: f64,
    /// Number of keys.
    keys: u32,
    /// Whether it cannot be relieved any further in this plan.
    done: bool,
}

impl Side<'_> {
    /// Requests a second that it can serve.
    fn capacity(&self) -> f64 {
        self.candidate.slots.max(1.0) / self.candidate.service_time.max(1e-6)
    }

    fn utilization(&self) -> f64 {
        (self.rate - self.excess) / self.capacity()
    }

    fn is_heavy(&self, rate: f64) -> bool {
        rate >= HEAVY * self.capacity()
    }
}

fn by_utilization(a: &&Side<'_>, b: &&Side<'_>) -> Ordering {
    a.utilization().total_cmp(&b.utilization())
}

/// A run of keys of one holding.
#[derive(Clone, Copy, Debug)]
struct Run {
    first: u16,
    last: u16,
    rate: f64,
    /// Cost of the run, where less is better.
    cost: f64,
}

struct Plan<'a> {
    sides: Vec<Side<'a>>,
    table: Table,
    demand: &'a Demand,
    moves: Vec<Move>,
}

/// Returns moves that bring new targets into use and relieve the busiest ones.
pub fn balance(table: &Table, candidates: &[Candidate], demand: &Demand) -> Vec<Move> {
    let sides = candidates.iter().map(|candidate| Side {
        candidate,
        rate: 0.0,
        heavy: 0.0,
        excess: 0.0,
        keys: 0,
        done: false,
    });
    let mut plan = Plan { sides: sides.collect(), table: table.clone(), demand, moves: Vec::new() };
    plan.count();
    plan.use_new();
    plan.join_small(candidates.len());
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the number of targets is far below the limits of the types"
    )]
    let most = MOVES.max((candidates.len() as f64 * MOVES_PER_TARGET) as usize);
    let room = candidates.len() * HOLDINGS_PER_TARGET + SPARE_HOLDINGS;
    while plan.moves.len() < most && plan.table.holdings.len() < room {
        if !plan.relieve() {
            break;
        }
    }
    plan.moves
}

impl<'a> Plan<'a> {
    /// Counts the load of every target.
    fn count(&mut self) {
        let index: HashMap<Incarnation, usize> = self
            .sides
            .iter()
            .enumerate()
            .map(|(i, s)| (s.candidate.incarnation.clone(), i))
            .collect();
        for holding in &self.table.holdings {
            let side = index.get(&holding.owner).and_then(|index| self.sides.get_mut(*index));
            let Some(side) = side else { continue };
            side.keys += holding.len();
            for (_, rate) in self.demand.rates(holding.first, holding.last) {
                add_rate(side, rate);
            }
        }
    }

    fn side(&mut self, life: &Incarnation) -> Option<&mut Side<'a>> {
        self.sides.iter_mut().find(|side| side.candidate.incarnation == *life)
    }

    /// Returns the mean utilization, weighted by capacity.
    fn mean(&self) -> f64 {
        let load: f64 = self.sides.iter().map(|side| side.rate - side.excess).sum();
        load / self.sides.iter().map(Side::capacity).sum::<f64>().max(1e-6)
    }

    /// Gives targets without keys a part of the load, or of the keys if there is no load.
    fn use_new(&mut self) {
        let new = self.sides.iter().filter(|side| side.keys == 0);
        let new: Vec<Incarnation> = new.map(|side| side.candidate.incarnation.clone()).collect();
        for life in new {
            let mean = self.mean();
            let wanted = self.side(&life).map_or(0.0, |side| mean * side.capacity() / 2.0);
            let givers = self.sides.iter().filter(|side| side.rate > side.heavy + side.excess);
            let giver =
                givers.max_by(by_utilization).map(|side| side.candidate.incarnation.clone());
            let run = giver.and_then(|giver| {
                let run = self.best_run(&giver, &life, wanted.max(f64::MIN_POSITIVE))?;
                Some((giver, run))
            });
            match run {
                Some((giver, run)) => self.apply(run, &giver, &life),
                None => self.halve(&life),
            }
        }
    }

    /// Gives small holdings to the owners of their neighbors while there are many holdings. Demand that
    /// moves around would otherwise fill the table with small ones until no move is possible.
    fn join_small(&mut self, targets: usize) {
        if self.table.holdings.len() < targets * CROWDED_PER_TARGET + SPARE_HOLDINGS / 2 {
            return;
        }
        let limit = BUSY.max(self.mean() * UNEVEN);
        let rate = |holding: &Holding| self.demand.rate(holding.first, holding.last);
        let mut small: Vec<(u16, u16, Incarnation, f64)> = self
            .table
            .holdings
            .iter()
            .map(|holding| (holding.first, holding.last, holding.owner.clone(), rate(holding)))
            .collect();
        small.sort_by(|a, b| a.3.total_cmp(&b.3));
        let mut joined = 0;
        for (first, last, owner, rate) in small {
            if joined * JOINED_PER_TARGET >= targets {
                return;
            }
            let neighbors = [first.checked_sub(1), last.checked_add(1)];
            let owners = neighbors.into_iter().flatten().filter_map(|key| self.table.find(key));
            let owners = owners.filter(|holding| holding.owner != owner);
            let room = |life: &Incarnation| {
                let side = self.sides.iter().find(|side| side.candidate.incarnation == *life)?;
                let used = side.utilization() + rate / side.capacity();
                (used < limit).then_some(used)
            };
            let to = owners
                .filter_map(|holding| Some((room(&holding.owner)?, holding.owner.clone())))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, to)) = to
                && !self.touches(first.saturating_sub(1), last.saturating_add(1))
            {
                self.apply(Run { first, last, rate, cost: 0.0 }, &owner, &to);
                joined += 1;
            }
        }
    }

    /// Gives a target half of the largest holding.
    fn halve(&mut self, life: &Incarnation) {
        let untouched = |holding: &&Holding| !self.touches(holding.first, holding.last);
        let largest = self.table.holdings.iter().filter(untouched).max_by_key(|h| h.len());
        let Some(holding) = largest.filter(|holding| holding.len() > 1) else { return };
        let middle = holding.first + (holding.last - holding.first) / 2 + 1;
        let (last, owner) = (holding.last, holding.owner.clone());
        let rate = self.demand.rate(middle, last);
        self.apply(Run { first: middle, last, rate, cost: 0.0 }, &owner, life);
    }

    /// Relieves the busiest target by one move. Returns false if no target needs it.
    fn relieve(&mut self) -> bool {
        let mean = self.mean();
        let open = self.sides.iter().filter(|side| !side.done);
        let Some(giver) = open.max_by(by_utilization) else { return false };
        let high = giver.utilization();
        if high < BUSY || high < mean * UNEVEN {
            return false;
        }
        let spare = giver.rate - giver.excess - mean * giver.capacity();
        let light = giver.rate - giver.excess - giver.heavy;
        let certain = spare > CERTAINTY * self.demand.deviation(giver.rate - giver.excess);
        let owner = giver.candidate.incarnation.clone();
        let others = self.sides.iter().filter(|side| side.candidate.incarnation != owner);
        let Some(idlest) = others.min_by(by_utilization) else { return false };
        let (to, lack) =
            (idlest.candidate.incarnation.clone(), mean * idlest.capacity() - idlest.rate);
        let (low, capacity) = (idlest.utilization(), idlest.capacity());
        let wanted = spare.min(lack).min(light);
        if certain
            && wanted > 0.0
            && let Some(run) = self.best_run(&owner, &to, wanted)
            && low + run.rate / capacity < high
        {
            self.apply(run, &owner, &to);
            return true;
        }
        if let Some((run, to)) = self.heavy_run(&owner) {
            self.apply(run, &owner, &to);
            return true;
        }
        if let Some(giver) = self.side(&owner) {
            giver.done = true;
        }
        true
    }

    /// Returns a heavy key that its owner should not keep, and the target that should have it.
    fn heavy_run(&self, owner: &Incarnation) -> Option<(Run, Incarnation)> {
        let giver = self.sides.iter().find(|side| side.candidate.incarnation == *owner)?;
        let holdings = self.table.holdings.iter().filter(|holding| holding.owner == *owner);
        let rates = holdings.flat_map(|holding| self.demand.rates(holding.first, holding.last));
        let mut heavy: Vec<(u16, f64)> = rates
            .filter(|(key, rate)| giver.is_heavy(*rate) && !self.touches(*key, *key))
            .collect();
        heavy.sort_by(|a, b| b.1.total_cmp(&a.1));
        let (largest, lightest) = (heavy.first()?, heavy.last()?);
        let others = self.sides.iter().filter(|side| side.candidate.incarnation != *owner);
        // The other load of the receiver can leave it, so only its heavy keys count.
        let after = |side: &Side<'_>, rate: f64| (side.heavy + rate) / side.capacity();
        let (key, rate) = if heavy.len() > 1 {
            *lightest
        } else if largest.1 > giver.capacity() * FILLING {
            *largest
        } else {
            return None;
        };
        let to = others.min_by(|a, b| after(a, rate).total_cmp(&after(b, rate)))?;
        let better = if heavy.len() > 1 {
            after(to, rate) < (giver.heavy + giver.excess) / giver.capacity()
        } else {
            to.heavy <= 0.0 && to.candidate.service_time < giver.candidate.service_time * FASTER
        };
        let run = Run { first: key, last: key, rate, cost: 0.0 };
        better.then(|| (run, to.candidate.incarnation.clone()))
    }

    /// Returns the run of light keys of an owner that suits a receiver best.
    fn best_run(&self, owner: &Incarnation, to: &Incarnation, wanted: f64) -> Option<Run> {
        let giver = self.sides.iter().find(|side| side.candidate.incarnation == *owner)?;
        let mut best: Option<Run> = None;
        for (index, holding) in self.table.holdings.iter().enumerate() {
            if holding.owner != *owner {
                continue;
            }
            let beside = |index: Option<usize>| {
                let neighbor = index.and_then(|index| self.table.holdings.get(index));
                neighbor.is_some_and(|neighbor| neighbor.owner == *to)
            };
            let (before, behind) = (beside(index.checked_sub(1)), beside(index.checked_add(1)));
            let keys: Vec<(u16, f64)> = self.demand.rates(holding.first, holding.last).collect();
            let mut next = Some(holding.first);
            let mut rest = keys.as_slice();
            while let Some(first) = next {
                let heavy = rest.iter().position(|(_, rate)| giver.is_heavy(*rate));
                let (segment, behind_heavy) = rest.split_at(heavy.unwrap_or(rest.len()));
                let barrier = behind_heavy.first().map(|(key, _)| *key);
                rest = behind_heavy.get(1..).unwrap_or_default();
                next =
                    barrier.and_then(|key| key.checked_add(1)).filter(|key| *key <= holding.last);
                let Some(last) = barrier.map_or(Some(holding.last), |key| key.checked_sub(1))
                else {
                    continue;
                };
                let ends = Ends {
                    first: (first, first == holding.first && before),
                    last: (last, last == holding.last && behind),
                    joints: u32::from(first != holding.first) + u32::from(last != holding.last),
                };
                for run in ends.runs(segment, wanted) {
                    let better = best.is_none_or(|best| run.cost < best.cost);
                    if better && !self.touches(run.first, run.last) {
                        best = Some(run);
                    }
                }
            }
        }
        best
    }

    /// Returns whether a move of this plan has keys between two keys: each key moves once at most.
    fn touches(&self, first: u16, last: u16) -> bool {
        self.moves.iter().any(|step| step.first <= last && first <= step.last)
    }

    fn apply(&mut self, run: Run, from: &Incarnation, to: &Incarnation) {
        let step = Move { first: run.first, last: run.last, to: to.clone() };
        self.table.apply(&step);
        let rates: Vec<f64> =
            self.demand.rates(run.first, run.last).map(|(_, rate)| rate).collect();
        let keys = u32::from(run.last) - u32::from(run.first) + 1;
        if let Some(side) = self.side(from) {
            side.keys = side.keys.saturating_sub(keys);
            rates.iter().for_each(|rate| remove_rate(side, *rate));
        }
        if let Some(side) = self.side(to) {
            side.keys += keys;
            side.done = false;
            rates.iter().for_each(|rate| add_rate(side, *rate));
        }
        self.moves.push(step);
    }
}

fn add_rate(side: &mut Side<'_>, rate: f64) {
    side.rate += rate;
    if side.is_heavy(rate) {
        side.heavy += rate.min(side.capacity());
        side.excess += (rate - side.capacity()).max(0.0);
    }
}

fn remove_rate(side: &mut Side<'_>, rate: f64) {
    side.rate = (side.rate - rate).max(0.0);
    if side.is_heavy(rate) {
        side.heavy = (side.heavy - rate.min(side.capacity())).max(0.0);
        side.excess = (side.excess - (rate - side.capacity()).max(0.0)).max(0.0);
    }
}

/// Keys of a holding between two heavy keys or ends of the holding.
struct Ends {
    /// First key, and whether the receiver has the key before it.
    first: (u16, bool),
    /// Last key, and whether the receiver has the key behind it.
    last: (u16, bool),
    /// Holdings that taking all of the keys adds: one for each end that is not one of the holding.
    joints: u32,
}

impl Ends {
    /// Returns runs from both ends with about a wanted rate, or all of the keys.
    fn runs(&self, keys: &[(u16, f64)], wanted: f64) -> Vec<Run> {
        let total: f64 = keys.iter().map(|(_, rate)| rate).sum();
        let joined = |neighbor: bool| if neighbor { -1.0 } else { 0.0 };
        let (first, last) = (self.first.0, self.last.0);
        let run = |first: u16, last: u16, rate: f64, holdings: f64| {
            let cost = (rate - wanted).abs() / wanted + HOLDING_COST * holdings;
            Run { first, last, rate, cost }
        };
        let mut runs = Vec::new();
        if total <= 0.0 || first > last {
            return runs;
        }
        if total <= wanted * EXCESS {
            let holdings = f64::from(self.joints) + joined(self.first.1) + joined(self.last.1);
            runs.push(run(first, last, total, holdings));
        } else {
            let mut sum = 0.0;
            let prefix = keys.iter().find(|(_, rate)| {
                sum += rate;
                sum >= wanted
            });
            let inner = |outer: bool| if outer { 1.0 } else { 0.0 };
            if let Some((key, _)) = prefix {
                let outer = inner(self.joints > 0);
                runs.push(run(first, *key, sum, 1.0 + outer + joined(self.first.1)));
            }
            sum = 0.0;
            let suffix = keys.iter().rev().find(|(_, rate)| {
                sum += rate;
                sum >= wanted
            });
            if let Some((key, _)) = suffix {
                let outer = inner(self.joints > 0);
                runs.push(run(*key, last, sum, 1.0 + outer + joined(self.last.1)));
            }
        }
        runs.retain(|run| run.rate >= wanted * LEAST && run.rate <= wanted * EXCESS.max(1.5));
        runs
    }
}
