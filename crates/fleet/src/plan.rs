//! Decides which keys change their owner.

use std::cmp::Ordering;
use std::collections::HashMap;

use crate::demand::Demand;
use crate::membership::Life;
use crate::ownership::LAST_KEY;
use crate::ownership::Move;
use crate::ownership::Table;

/// Utilization from which a target's keys are moved away. Below it a target answers without a
/// queue to speak of, and a move would cost more than it gains.
const BUSY: f64 = 0.45;

/// Ratio of a target's utilization to the mean from which its keys are moved away.
const UNEVEN: f64 = 1.3;

/// Moves in one step, so that the next step sees their effect.
const MOVES: usize = 16;

/// Share of its owner's capacity from which a single key is left where it is: wherever it goes, it
/// fills its owner, and each move interrupts it. The other keys of its owner move instead.
const HEAVY: f64 = 0.5;

/// Ratio of the times of two targets from which a heavy key moves to the faster one.
const FASTER: f64 = 0.75;

/// Pieces into which the keys of a lost target are divided at most, so that no other target gets
/// all of its load.
const PIECES: u32 = 4;

/// Keys and utilization of one such piece.
const PIECE_KEYS: u32 = 2048;
const PIECE_USE: f64 = 0.08;

/// Holdings beyond two for each target; each is renewed by a call of its own. They leave room for the
/// busy neighborhoods of some hot keys.
const SPARE_HOLDINGS: usize = 64;

/// A target that can own keys.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its life.
    pub life: Life,
    /// Requests that it processes at a time.
    pub slots: f64,
    /// Mean time of a request in seconds.
    pub time: f64,
}

struct Side<'a> {
    candidate: &'a Candidate,
    /// Requests a second.
    rate: f64,
    /// Number of keys.
    keys: u32,
}

impl Side<'_> {
    fn utilization(&self, rate: f64) -> f64 {
        rate * self.candidate.time / self.candidate.slots.max(1.0)
    }

    /// Load for comparisons: the number of keys decides where no requests were counted.
    fn weight(&self) -> f64 {
        let keys = f64::from(self.keys) / (f64::from(LAST_KEY) + 1.0);
        self.utilization(self.rate)
            + 0.1 * keys * self.candidate.time / self.candidate.slots.max(1.0)
    }
}

/// Returns moves that give every key an owner among the candidates.
pub fn repair(table: &Table, candidates: &[Candidate], demand: &Demand) -> Vec<Move> {
    let mut sides = sides(table, candidates, demand);
    let mut moves = Vec::new();
    if sides.is_empty() {
        return moves;
    }
    for (first, last) in table.gaps() {
        let pieces = u32::try_from(candidates.len()).unwrap_or(1);
        let pieces = if table.holdings.is_empty() { pieces } else { pieces.min(PIECES) };
        give(first, last, pieces, &mut sides, demand, &mut moves);
    }
    for holding in &table.holdings {
        if candidates.iter().any(|candidate| candidate.life == holding.owner) {
            continue;
        }
        let same = candidates.iter().find(|candidate| candidate.life.id == holding.owner.id);
        if let Some(same) = same {
            let (first, last) = (holding.first, holding.last);
            moves.push(Move { first, last, to: same.life.clone() });
            continue;
        }
        let time = candidates.iter().map(|c| c.time / c.slots.max(1.0)).fold(0.0, f64::max);
        let load = demand.rate(holding.first, holding.last) * time;
        let by_load = (1..PIECES).find(|pieces| load <= f64::from(*pieces) * PIECE_USE);
        let pieces = by_load.unwrap_or(PIECES).max(holding.len() / PIECE_KEYS).min(PIECES);
        give(holding.first, holding.last, pieces, &mut sides, demand, &mut moves);
    }
    moves
}

fn sides<'a>(table: &Table, candidates: &'a [Candidate], demand: &Demand) -> Vec<Side<'a>> {
    let rates = rates(table, demand);
    let mut keys: HashMap<&Life, u32> = HashMap::new();
    for holding in &table.holdings {
        *keys.entry(&holding.owner).or_default() += holding.len();
    }
    let side = |candidate: &'a Candidate| {
        let rate = rates.get(&candidate.life).copied().unwrap_or_default();
        let keys = keys.get(&candidate.life).copied().unwrap_or_default();
        Side { candidate, rate, keys }
    };
    candidates.iter().map(side).collect()
}

/// Divides keys into pieces and gives each to the least loaded target.
fn give(
    first: u16,
    last: u16,
    pieces: u32,
    sides: &mut [Side<'_>],
    demand: &Demand,
    moves: &mut Vec<Move>,
) {
    let keys = u32::from(last) - u32::from(first) + 1;
    let pieces = pieces.min(keys).max(1);
    let mut next = u32::from(first);
    for piece in 0..pieces {
        let end = u32::from(first) + keys * (piece + 1) / pieces - 1;
        let (Ok(start), Ok(stop)) = (u16::try_from(next), u16::try_from(end)) else { return };
        next = end + 1;
        let least = sides.iter_mut().min_by(|a, b| a.weight().total_cmp(&b.weight()));
        let Some(side) = least else { return };
        side.rate += demand.rate(start, stop);
        side.keys += u32::from(stop) - u32::from(start) + 1;
        moves.push(Move { first: start, last: stop, to: side.candidate.life.clone() });
    }
}

/// Returns moves that relieve the busiest targets and bring new targets into use.
pub fn balance(table: &Table, candidates: &[Candidate], demand: &Demand) -> Vec<Move> {
    let mut plan = Plan { sides: sides(table, candidates, demand), table: table.clone(), demand };
    let mut moves = Vec::new();
    plan.use_new(&mut moves);
    let room = candidates.len() * 2 + SPARE_HOLDINGS;
    // Owners that cannot be relieved any further.
    let mut done: Vec<Life> = Vec::new();
    while moves.len() < MOVES && plan.table.holdings.len() < room {
        let Some(step) = plan.step(&mut done) else { break };
        if let Some(step) = step {
            moves.push(step);
        }
    }
    moves
}

struct Plan<'a> {
    sides: Vec<Side<'a>>,
    table: Table,
    demand: &'a Demand,
}

impl Plan<'_> {
    fn mean(&self) -> f64 {
        let count = f64::from(u32::try_from(self.sides.len().max(1)).unwrap_or(u32::MAX));
        self.sides.iter().map(|side| side.utilization(side.rate)).sum::<f64>() / count
    }

    /// Gives targets without keys a part of the busiest target's load.
    fn use_new(&mut self, moves: &mut Vec<Move>) {
        let new: Vec<Life> = self
            .sides
            .iter()
            .filter(|side| side.keys == 0)
            .map(|side| side.candidate.life.clone())
            .collect();
        for life in new {
            let count = f64::from(u32::try_from(self.sides.len().max(1)).unwrap_or(u32::MAX));
            let total: f64 = self.sides.iter().map(|side| side.rate).sum();
            let wanted = total / count / 2.0;
            let busiest = self.sides.iter().max_by(by_use);
            let Some(owner) = busiest.map(|side| side.candidate.life.clone()) else { return };
            let found = window(&self.table, &owner, self.demand, wanted, f64::INFINITY);
            if let Some((first, last, rate)) = found {
                moves.push(self.apply(first, last, rate, &owner, &life));
            }
        }
    }

    /// Finds one move. The outer none means that there is no more to do, the inner one that an
    /// owner was added to those that are done.
    fn step(&mut self, done: &mut Vec<Life>) -> Option<Option<Move>> {
        let mean = self.mean();
        let open = self.sides.iter().filter(|side| !done.contains(&side.candidate.life));
        let busiest = open.max_by(by_use)?;
        let high = busiest.utilization(busiest.rate);
        if high < BUSY || high < mean * UNEVEN {
            return None;
        }
        let owner = busiest.candidate.life.clone();
        let (time, slots) = (busiest.candidate.time.max(1e-6), busiest.candidate.slots.max(1.0));
        let heavy = HEAVY * slots / time;
        let others = self.sides.iter().filter(|side| side.candidate.life != owner);
        let idlest = others.min_by(by_use)?;
        let (low, to) = (idlest.utilization(idlest.rate), idlest.candidate.life.clone());
        let (to_time, to_slots) =
            (idlest.candidate.time.max(1e-6), idlest.candidate.slots.max(1.0));
        // The receiver is not to become busier than the giver stays.
        let spare = (high - low) / 2.0;
        let wanted = spare.min(high - mean).max(high * 0.1) / time * slots;
        let limit = spare / to_time * to_slots;
        let found = window(&self.table, &owner, self.demand, wanted.min(limit * 1.2), heavy);
        let fits = |rate: f64| low + rate * to_time / to_slots < high;
        if let Some((first, last, rate)) = found.filter(|(_, _, rate)| fits(*rate)) {
            return Some(Some(self.apply(first, last, rate, &owner, &to)));
        }
        // Only heavy keys are left. A target that is much faster and idle is worth the move.
        let faster = to_time < time * FASTER && low < mean;
        let key = self.heaviest(&owner).filter(|(_, rate)| faster && fits(*rate));
        if let Some((key, rate)) = key {
            return Some(Some(self.apply(key, key, rate, &owner, &to)));
        }
        done.push(owner);
        Some(None)
    }

    fn heaviest(&self, owner: &Life) -> Option<(u16, f64)> {
        let holdings = self.table.holdings.iter().filter(|holding| holding.owner == *owner);
        let keys = holdings.flat_map(|holding| self.demand.rates(holding.first, holding.last));
        keys.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn apply(&mut self, first: u16, last: u16, rate: f64, from: &Life, to: &Life) -> Move {
        let step = Move { first, last, to: to.clone() };
        self.table.apply(&step);
        let keys = u32::from(last) - u32::from(first) + 1;
        for side in &mut self.sides {
            if side.candidate.life == *from {
                side.rate -= rate;
                side.keys = side.keys.saturating_sub(keys);
            } else if side.candidate.life == *to {
                side.rate += rate;
                side.keys += keys;
            }
        }
        step
    }
}

fn by_use(a: &&Side<'_>, b: &&Side<'_>) -> Ordering {
    a.utilization(a.rate).total_cmp(&b.utilization(b.rate))
}

/// Returns the shortest run of an owner's keys with at least a wanted rate, and its rate. If no run
/// has that much, the run with the highest rate. Keys with `heavy` or more are in no run.
fn window(
    table: &Table,
    owner: &Life,
    demand: &Demand,
    wanted: f64,
    heavy: f64,
) -> Option<(u16, u16, f64)> {
    let mut best: Option<(u16, u16, f64)> = None;
    for holding in table.holdings.iter().filter(|holding| holding.owner == *owner) {
        let keys: Vec<(u16, f64)> = demand.rates(holding.first, holding.last).collect();
        for run in keys.split(|(_, rate)| *rate >= heavy) {
            narrow(run, wanted, &mut best);
        }
    }
    best
}

fn narrow(keys: &[(u16, f64)], wanted: f64, best: &mut Option<(u16, u16, f64)>) {
    let (mut start, mut sum) = (0, 0.0);
    for (end, (last, rate)) in keys.iter().enumerate() {
        sum += rate;
        while let Some((_, lowest)) = keys.get(start)
            && start < end
            && sum - lowest >= wanted
        {
            sum -= lowest;
            start += 1;
        }
        let Some((first, _)) = keys.get(start) else { continue };
        let better = best.is_none_or(|(low, high, most)| {
            let enough = most >= wanted;
            if enough { sum >= wanted && last - first < high - low } else { sum > most }
        });
        if better {
            *best = Some((*first, *last, sum));
        }
    }
}

/// Returns the requests a second for the keys of each owner.
pub fn rates(table: &Table, demand: &Demand) -> HashMap<Life, f64> {
    let mut rates: HashMap<Life, f64> = HashMap::new();
    for holding in &table.holdings {
        *rates.entry(holding.owner.clone()).or_default() +=
            demand.rate(holding.first, holding.last);
    }
    rates
}
