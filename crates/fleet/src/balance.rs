//! Moves keys between targets so that the load of every target fits its capacity.
//!
//! The load of a target is its requests per second multiplied by the mean service time. The busiest
//! target gives a run of keys to the least utilized one: as much as brings the donor to the mean,
//! or the receiver if that is less. This is repeated until no target is far above the mean. Runs
//! are taken from the ends of holdings where possible, since every holding costs one call for each
//! renewal. A key that takes up much of a target by itself is never part of a run. Instead the
//! other keys leave its owner, and of several such keys of one owner all but one.

use std::cmp::Ordering;
use std::collections::HashMap;

use crate::demand::Demand;
use crate::membership::Incarnation;
use crate::ownership::Holding;
use crate::ownership::Move;
use crate::ownership::Table;
use crate::plan::Candidate;

/// Utilization above which keys are moved away from a target. Below it a target answers almost
/// without queueing, and a move would cost more than it gains.
const BUSY_UTILIZATION: f64 = 0.45;

/// Ratio of a target's utilization to the mean above which its keys are moved away.
const IMBALANCE_RATIO: f64 = 1.2;

/// Standard deviations by which the counted requests of a target must exceed its share. Without
/// this margin, random variation would cause moves all the time.
const IMBALANCE_DEVIATIONS: f64 = 2.0;

/// Limit of the moves in one plan: a lower bound, and the limit per target in a larger fleet. While
/// a key moves, its requests wait for the running ones.
const MIN_MOVE_LIMIT: usize = 16;
const MOVE_LIMIT_PER_TARGET: f64 = 0.5;

/// Limit of the holdings: a number per target and a constant for small fleets. Every holding is
/// renewed by a call of its own. The limit leaves room for one complete change of the demand
/// pattern.
const HOLDINGS_PER_TARGET: usize = 6;
const SPARE_HOLDINGS: usize = 32;

/// Holdings per target above which small ones are merged with their neighbors, and the number of
/// targets for each merge in one plan.
const MERGE_HOLDINGS_PER_TARGET: usize = 4;
const TARGETS_PER_MERGE: usize = 3;

/// Share of the owner's capacity above which a key is heavy: it takes up much of any target that
/// owns it.
const HEAVY_SHARE: f64 = 0.5;

/// Share of the owner's capacity above which a key belongs on a faster target, and the highest
/// ratio of the service times at which another target counts as faster.
const DOMINANT_SHARE: f64 = 0.85;
const FASTER_RATIO: f64 = 0.75;

/// Cost of an additional holding when runs are compared, relative to the wanted rate.
const HOLDING_COST: f64 = 0.15;

/// Lowest rate of a run relative to the wanted rate. Smaller runs are not worth the interruption.
const MIN_RUN_RATIO: f64 = 0.3;

/// Highest rate of all keys between two heavy ones, relative to the wanted rate, at which they move
/// together; otherwise a run from one of the ends moves.
const MAX_WHOLE_RATIO: f64 = 1.3;

/// Highest rate of a run relative to the wanted rate.
const MAX_RUN_RATIO: f64 = 1.5;

/// Load of a target.
struct Load<'a> {
    candidate: &'a Candidate,
    /// Requests per second.
    rate: f64,
    /// Requests per second for heavy keys, each limited to the owner's capacity.
    heavy: f64,
    /// Requests per second for heavy keys beyond the owner's capacity.
    excess: f64,
    /// Number of keys.
    keys: u32,
    /// Whether no further move in this plan can relieve the target.
    exhausted: bool,
}

impl Load<'_> {
    /// Returns the requests per second that the target can serve.
    fn capacity(&self) -> f64 {
        self.candidate.slots.max(1.0) / self.candidate.service_time.max(1e-6)
    }

    fn utilization(&self) -> f64 {
        (self.rate - self.excess) / self.capacity()
    }

    fn is_heavy(&self, rate: f64) -> bool {
        rate >= HEAVY_SHARE * self.capacity()
    }
}

fn by_utilization(a: &&Load<'_>, b: &&Load<'_>) -> Ordering {
    a.utilization().total_cmp(&b.utilization())
}

/// Contiguous keys of one holding.
#[derive(Clone, Copy, Debug)]
struct Run {
    first: u16,
    last: u16,
    rate: f64,
    /// Relative deviation from the wanted rate plus the cost of additional holdings.
    cost: f64,
}

struct Plan<'a> {
    loads: Vec<Load<'a>>,
    table: Table,
    demand: &'a Demand,
    moves: Vec<Move>,
}

/// Returns moves that assign keys to new targets and relieve the busiest ones.
pub fn balance(table: &Table, candidates: &[Candidate], demand: &Demand) -> Vec<Move> {
    let loads = candidates.iter().map(|candidate| Load {
        candidate,
        rate: 0.0,
        heavy: 0.0,
        excess: 0.0,
        keys: 0,
        exhausted: false,
    });
    let mut plan = Plan { loads: loads.collect(), table: table.clone(), demand, moves: Vec::new() };
    plan.sum_loads();
    plan.assign_new();
    plan.merge_small(candidates.len());
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the number of targets is far below the limits of the types"
    )]
    let max_moves = MIN_MOVE_LIMIT.max((candidates.len() as f64 * MOVE_LIMIT_PER_TARGET) as usize);
    let max_holdings = candidates.len() * HOLDINGS_PER_TARGET + SPARE_HOLDINGS;
    while plan.moves.len() < max_moves && plan.table.holdings.len() < max_holdings {
        if !plan.relieve() {
            break;
        }
    }
    plan.moves
}

impl<'a> Plan<'a> {
    /// Sums up the load of every target.
    fn sum_loads(&mut self) {
        let index: HashMap<Incarnation, usize> = self
            .loads
            .iter()
            .enumerate()
            .map(|(index, load)| (load.candidate.incarnation.clone(), index))
            .collect();
        for holding in &self.table.holdings {
            let load = index.get(&holding.owner).and_then(|index| self.loads.get_mut(*index));
            let Some(load) = load else { continue };
            load.keys += holding.len();
            for (_, rate) in self.demand.rates(holding.first, holding.last) {
                add_rate(load, rate);
            }
        }
    }

    fn load(&mut self, incarnation: &Incarnation) -> Option<&mut Load<'a>> {
        self.loads.iter_mut().find(|load| load.candidate.incarnation == *incarnation)
    }

    /// Returns the mean utilization, weighted by capacity.
    fn mean(&self) -> f64 {
        let load: f64 = self.loads.iter().map(|load| load.rate - load.excess).sum();
        load / self.loads.iter().map(Load::capacity).sum::<f64>().max(1e-6)
    }

    /// Moves part of the load, or of the keys if there is no load, to targets without keys.
    fn assign_new(&mut self) {
        let new = self.loads.iter().filter(|load| load.keys == 0);
        let new: Vec<Incarnation> = new.map(|load| load.candidate.incarnation.clone()).collect();
        for incarnation in new {
            let mean = self.mean();
            let wanted = self.load(&incarnation).map_or(0.0, |load| mean * load.capacity() / 2.0);
            let donors = self.loads.iter().filter(|load| load.rate > load.heavy + load.excess);
            let donor =
                donors.max_by(by_utilization).map(|load| load.candidate.incarnation.clone());
            let run = donor.and_then(|donor| {
                let run = self.best_run(&donor, &incarnation, wanted.max(f64::MIN_POSITIVE))?;
                Some((donor, run))
            });
            match run {
                Some((donor, run)) => self.apply(run, &donor, &incarnation),
                None => self.split_largest(&incarnation),
            }
        }
    }

    /// Assigns small holdings to the owners of their neighbors while there are many holdings.
    /// Otherwise shifting demand would fill the table with small holdings until no move is
    /// possible.
    fn merge_small(&mut self, targets: usize) {
        if self.table.holdings.len() < targets * MERGE_HOLDINGS_PER_TARGET + SPARE_HOLDINGS / 2 {
            return;
        }
        let limit = BUSY_UTILIZATION.max(self.mean() * IMBALANCE_RATIO);
        let rate = |holding: &Holding| self.demand.rate(holding.first, holding.last);
        let mut small: Vec<(u16, u16, Incarnation, f64)> = self
            .table
            .holdings
            .iter()
            .map(|holding| (holding.first, holding.last, holding.owner.clone(), rate(holding)))
            .collect();
        small.sort_by(|a, b| a.3.total_cmp(&b.3));
        let mut merged = 0;
        for (first, last, owner, rate) in small {
            if merged * TARGETS_PER_MERGE >= targets {
                return;
            }
            let neighbors = [first.checked_sub(1), last.checked_add(1)];
            let owners = neighbors.into_iter().flatten().filter_map(|key| self.table.find(key));
            let owners = owners.filter(|holding| holding.owner != owner);
            let headroom = |incarnation: &Incarnation| {
                let load =
                    self.loads.iter().find(|load| load.candidate.incarnation == *incarnation)?;
                let used = load.utilization() + rate / load.capacity();
                (used < limit).then_some(used)
            };
            let to = owners
                .filter_map(|holding| Some((headroom(&holding.owner)?, holding.owner.clone())))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, to)) = to
                && !self.overlaps_move(first.saturating_sub(1), last.saturating_add(1))
            {
                self.apply(Run { first, last, rate, cost: 0.0 }, &owner, &to);
                merged += 1;
            }
        }
    }

    /// Assigns half of the largest holding to a target.
    fn split_largest(&mut self, incarnation: &Incarnation) {
        let unmoved = |holding: &&Holding| !self.overlaps_move(holding.first, holding.last);
        let largest = self.table.holdings.iter().filter(unmoved).max_by_key(|h| h.len());
        let Some(holding) = largest.filter(|holding| holding.len() > 1) else { return };
        let middle = holding.first + (holding.last - holding.first) / 2 + 1;
        let (last, owner) = (holding.last, holding.owner.clone());
        let rate = self.demand.rate(middle, last);
        self.apply(Run { first: middle, last, rate, cost: 0.0 }, &owner, incarnation);
    }

    /// Relieves the busiest target by one move. Returns false if no target needs relief.
    fn relieve(&mut self) -> bool {
        let mean = self.mean();
        let open = self.loads.iter().filter(|load| !load.exhausted);
        let Some(donor) = open.max_by(by_utilization) else { return false };
        let high = donor.utilization();
        if high < BUSY_UTILIZATION || high < mean * IMBALANCE_RATIO {
            return false;
        }
        let surplus = donor.rate - donor.excess - mean * donor.capacity();
        let light_rate = donor.rate - donor.excess - donor.heavy;
        let significant =
            surplus > IMBALANCE_DEVIATIONS * self.demand.deviation(donor.rate - donor.excess);
        let owner = donor.candidate.incarnation.clone();
        let others = self.loads.iter().filter(|load| load.candidate.incarnation != owner);
        let Some(least_utilized) = others.min_by(by_utilization) else { return false };
        let (to, deficit) = (
            least_utilized.candidate.incarnation.clone(),
            mean * least_utilized.capacity() - least_utilized.rate,
        );
        let (low, capacity) = (least_utilized.utilization(), least_utilized.capacity());
        let wanted = surplus.min(deficit).min(light_rate);
        if significant
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
        if let Some(donor) = self.load(&owner) {
            donor.exhausted = true;
        }
        true
    }

    /// Returns a heavy key that should leave its owner, and the target that should get it.
    fn heavy_run(&self, owner: &Incarnation) -> Option<(Run, Incarnation)> {
        let donor = self.loads.iter().find(|load| load.candidate.incarnation == *owner)?;
        let holdings = self.table.holdings.iter().filter(|holding| holding.owner == *owner);
        let rates = holdings.flat_map(|holding| self.demand.rates(holding.first, holding.last));
        let mut heavy: Vec<(u16, f64)> = rates
            .filter(|(key, rate)| donor.is_heavy(*rate) && !self.overlaps_move(*key, *key))
            .collect();
        heavy.sort_by(|a, b| b.1.total_cmp(&a.1));
        let (largest, lightest) = (heavy.first()?, heavy.last()?);
        let others = self.loads.iter().filter(|load| load.candidate.incarnation != *owner);
        // Other keys can be moved away from the receiver, so only its heavy keys count.
        let after = |load: &Load<'_>, rate: f64| (load.heavy + rate) / load.capacity();
        let (key, rate) = if heavy.len() > 1 {
            *lightest
        } else if largest.1 > donor.capacity() * DOMINANT_SHARE {
            *largest
        } else {
            return None;
        };
        let to = others.min_by(|a, b| after(a, rate).total_cmp(&after(b, rate)))?;
        let better = if heavy.len() > 1 {
            after(to, rate) < (donor.heavy + donor.excess) / donor.capacity()
        } else {
            to.heavy <= 0.0
                && to.candidate.service_time < donor.candidate.service_time * FASTER_RATIO
        };
        let run = Run { first: key, last: key, rate, cost: 0.0 };
        better.then(|| (run, to.candidate.incarnation.clone()))
    }

    /// Returns the run of light keys of a donor that fits a receiver best.
    fn best_run(&self, owner: &Incarnation, to: &Incarnation, wanted: f64) -> Option<Run> {
        let donor = self.loads.iter().find(|load| load.candidate.incarnation == *owner)?;
        let mut best: Option<Run> = None;
        for (index, holding) in self.table.holdings.iter().enumerate() {
            if holding.owner != *owner {
                continue;
            }
            let adjacent = |index: Option<usize>| {
                let neighbor = index.and_then(|index| self.table.holdings.get(index));
                neighbor.is_some_and(|neighbor| neighbor.owner == *to)
            };
            let (merges_before, merges_after) =
                (adjacent(index.checked_sub(1)), adjacent(index.checked_add(1)));
            let keys: Vec<(u16, f64)> = self.demand.rates(holding.first, holding.last).collect();
            let mut next = Some(holding.first);
            let mut rest = keys.as_slice();
            while let Some(first) = next {
                let heavy = rest.iter().position(|(_, rate)| donor.is_heavy(*rate));
                let (light, after_heavy) = rest.split_at(heavy.unwrap_or(rest.len()));
                let barrier = after_heavy.first().map(|(key, _)| *key);
                rest = after_heavy.get(1..).unwrap_or_default();
                next =
                    barrier.and_then(|key| key.checked_add(1)).filter(|key| *key <= holding.last);
                let Some(last) = barrier.map_or(Some(holding.last), |key| key.checked_sub(1))
                else {
                    continue;
                };
                let segment = Segment {
                    first: (first, first == holding.first && merges_before),
                    last: (last, last == holding.last && merges_after),
                    added_holdings: u32::from(first != holding.first)
                        + u32::from(last != holding.last),
                };
                for run in segment.runs(light, wanted) {
                    let better = best.is_none_or(|best| run.cost < best.cost);
                    if better && !self.overlaps_move(run.first, run.last) {
                        best = Some(run);
                    }
                }
            }
        }
        best
    }

    /// Returns whether a move of this plan overlaps a range of keys. Each key moves at most once.
    fn overlaps_move(&self, first: u16, last: u16) -> bool {
        self.moves.iter().any(|key_move| key_move.first <= last && first <= key_move.last)
    }

    fn apply(&mut self, run: Run, from: &Incarnation, to: &Incarnation) {
        let key_move = Move { first: run.first, last: run.last, to: to.clone() };
        self.table.apply(&key_move);
        let rates: Vec<f64> =
            self.demand.rates(run.first, run.last).map(|(_, rate)| rate).collect();
        let keys = u32::from(run.last) - u32::from(run.first) + 1;
        if let Some(load) = self.load(from) {
            load.keys = load.keys.saturating_sub(keys);
            rates.iter().for_each(|rate| remove_rate(load, *rate));
        }
        if let Some(load) = self.load(to) {
            load.keys += keys;
            load.exhausted = false;
            rates.iter().for_each(|rate| add_rate(load, *rate));
        }
        self.moves.push(key_move);
    }
}

fn add_rate(load: &mut Load<'_>, rate: f64) {
    load.rate += rate;
    if load.is_heavy(rate) {
        load.heavy += rate.min(load.capacity());
        load.excess += (rate - load.capacity()).max(0.0);
    }
}

fn remove_rate(load: &mut Load<'_>, rate: f64) {
    load.rate = (load.rate - rate).max(0.0);
    if load.is_heavy(rate) {
        load.heavy = (load.heavy - rate.min(load.capacity())).max(0.0);
        load.excess = (load.excess - (rate - load.capacity()).max(0.0)).max(0.0);
    }
}

/// Keys of a holding between two heavy keys or ends of the holding.
struct Segment {
    /// First key, and whether the receiver owns the key before it.
    first: (u16, bool),
    /// Last key, and whether the receiver owns the key after it.
    last: (u16, bool),
    /// Holdings that are added if all of the keys move: one for each end inside the holding.
    added_holdings: u32,
}

impl Segment {
    /// Returns runs from both ends with about the wanted rate, or all of the keys.
    fn runs(&self, keys: &[(u16, f64)], wanted: f64) -> Vec<Run> {
        let total: f64 = keys.iter().map(|(_, rate)| rate).sum();
        let merge_credit = |merges: bool| if merges { -1.0 } else { 0.0 };
        let (first, last) = (self.first.0, self.last.0);
        let run = |first: u16, last: u16, rate: f64, holdings: f64| {
            let cost = (rate - wanted).abs() / wanted + HOLDING_COST * holdings;
            Run { first, last, rate, cost }
        };
        let mut runs = Vec::new();
        if total <= 0.0 || first > last {
            return runs;
        }
        if total <= wanted * MAX_WHOLE_RATIO {
            let holdings = f64::from(self.added_holdings)
                + merge_credit(self.first.1)
                + merge_credit(self.last.1);
            runs.push(run(first, last, total, holdings));
        } else {
            let mut sum = 0.0;
            let prefix = keys.iter().find(|(_, rate)| {
                sum += rate;
                sum >= wanted
            });
            let cost_of = |added: bool| if added { 1.0 } else { 0.0 };
            if let Some((key, _)) = prefix {
                let added = cost_of(self.added_holdings > 0);
                runs.push(run(first, *key, sum, 1.0 + added + merge_credit(self.first.1)));
            }
            sum = 0.0;
            let suffix = keys.iter().rev().find(|(_, rate)| {
                sum += rate;
                sum >= wanted
            });
            if let Some((key, _)) = suffix {
                let added = cost_of(self.added_holdings > 0);
                runs.push(run(*key, last, sum, 1.0 + added + merge_credit(self.last.1)));
            }
        }
        runs.retain(|run| run.rate >= wanted * MIN_RUN_RATIO && run.rate <= wanted * MAX_RUN_RATIO);
        runs
    }
}
