//! Decides which keys change their owner.

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
const MOVES: usize = 6;

/// Pieces into which the keys of a lost target are divided at most, so that no other target gets
/// all of its load.
const PIECES: u32 = 4;

/// Largest number of holdings for each target on average; each is renewed by a call of its own.
const HOLDINGS_PER_TARGET: usize = 8;

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
        self.utilization(self.rate) + 0.1 * keys * self.candidate.time / self.candidate.slots.max(1.0)
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
        give(holding.first, holding.last, PIECES, &mut sides, demand, &mut moves);
    }
    moves
}

fn sides<'a>(table: &Table, candidates: &'a [Candidate], demand: &Demand) -> Vec<Side<'a>> {
    let mut loads: HashMap<&Life, (f64, u32)> = HashMap::new();
    for holding in &table.holdings {
        let load = loads.entry(&holding.owner).or_default();
        load.0 += demand.rate(holding.first, holding.last);
        load.1 += holding.len();
    }
    let side = |candidate: &'a Candidate| {
        let (rate, keys) = loads.get(&candidate.life).copied().unwrap_or_default();
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
    // Few keys stay together: each holding costs a call for every renewal.
    let pieces = pieces.min(keys.div_ceil(64)).max(1);
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
    let mut sides = sides(table, candidates, demand);
    let mut table = table.clone();
    let mut moves: Vec<Move> = Vec::new();
    let room = candidates.len() * HOLDINGS_PER_TARGET;
    while moves.len() < MOVES && table.holdings.len() < room {
        let count = sides.len().max(1);
        let total: f64 = sides.iter().map(|side| side.utilization(side.rate)).sum();
        let mean = total / f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let by_use = |a: &&Side<'_>, b: &&Side<'_>| {
            a.utilization(a.rate).total_cmp(&b.utilization(b.rate))
        };
        let (Some(busiest), Some(idlest)) =
            (sides.iter().max_by(by_use), sides.iter().min_by(by_use))
        else {
            break;
        };
        let unused = idlest.keys == 0 && busiest.rate > 0.0;
        let high = busiest.utilization(busiest.rate);
        if !unused && (high < BUSY || high < mean * UNEVEN) {
            break;
        }
        // The receiver is not to become busier than the giver stays.
        let spare = (high - idlest.utilization(idlest.rate)) / 2.0;
        let wanted = (spare.min(high - mean).max(high * 0.1)) / busiest.candidate.time.max(1e-6)
            * busiest.candidate.slots.max(1.0);
        let limit = spare / idlest.candidate.time.max(1e-6) * idlest.candidate.slots.max(1.0);
        let found = window(&table, &busiest.candidate.life, demand, wanted.min(limit * 1.2));
        let Some((first, last, rate)) = found else { break };
        // A window of one key that is too much for the receiver only moves the problem.
        if idlest.utilization(idlest.rate + rate) >= high {
            break;
        }
        let (from, to) = (busiest.candidate.life.clone(), idlest.candidate.life.clone());
        let step = Move { first, last, to: to.clone() };
        table.apply(&step);
        moves.push(step);
        let keys = u32::from(last) - u32::from(first) + 1;
        for side in &mut sides {
            if side.candidate.life == from {
                side.rate -= rate;
                side.keys = side.keys.saturating_sub(keys);
            } else if side.candidate.life == to {
                side.rate += rate;
                side.keys += keys;
            }
        }
    }
    moves
}

/// Returns the shortest run of an owner's keys with at least a given rate, and its rate. If its
/// keys together have less, the run of a holding with the highest rate.
fn window(table: &Table, owner: &Life, demand: &Demand, wanted: f64) -> Option<(u16, u16, f64)> {
    let mut best: Option<(u16, u16, f64)> = None;
    for holding in table.holdings.iter().filter(|holding| holding.owner == *owner) {
        let keys: Vec<(u16, f64)> = demand.rates(holding.first, holding.last).collect();
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
                best = Some((*first, *last, sum));
            }
        }
    }
    best
}
