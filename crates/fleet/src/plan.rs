//! Gives keys without a usable owner to targets.

use std::collections::HashMap;

use crate::demand::Demand;
use crate::membership::Incarnation;
use crate::ownership::LAST_KEY;
use crate::ownership::Move;
use crate::ownership::Table;

/// Pieces into which the keys of a lost target are divided at most, so that no other target gets
/// all of its load.
const PIECES: u32 = 4;

/// Keys and utilization of one such piece.
const PIECE_KEYS: u32 = 2048;
const PIECE_USE: f64 = 0.3;

/// A target that can own keys.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its life.
    pub incarnation: Incarnation,
    /// Requests that it processes at a time.
    pub slots: f64,
    /// Mean time of a request in seconds.
    pub service_time: f64,
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
        rate * self.candidate.service_time / self.candidate.slots.max(1.0)
    }

    /// Load for comparisons: the number of keys decides where no requests were counted.
    fn weight(&self) -> f64 {
        let keys = f64::from(self.keys) / (f64::from(LAST_KEY) + 1.0);
        self.utilization(self.rate)
            + 0.1 * keys * self.candidate.service_time / self.candidate.slots.max(1.0)
    }
}

/// Returns moves that give every key an owner among the candidates.
pub fn repair(table: &Table, candidates: &[Candidate], demand: &Demand) -> Vec<Move> {
    let mut sides = sides(table, candidates, demand);
    let mut moves = Vec::new();
    if sides.is_empty() {
        return moves;
    }
    for (first, last) in table.unowned_ranges() {
        let pieces = u32::try_from(candidates.len()).unwrap_or(1);
        let pieces = if table.holdings.is_empty() { pieces } else { pieces.min(PIECES) };
        give(first, last, pieces, &mut sides, demand, &mut moves);
    }
    for holding in &table.holdings {
        if candidates.iter().any(|candidate| candidate.incarnation == holding.owner) {
            continue;
        }
        let same = candidates.iter().find(|candidate| candidate.incarnation.id == holding.owner.id);
        if let Some(same) = same {
            let (first, last) = (holding.first, holding.last);
            moves.push(Move { first, last, to: same.incarnation.clone() });
            continue;
        }
        let time = candidates.iter().map(|c| c.service_time / c.slots.max(1.0)).fold(0.0, f64::max);
        let load = demand.rate(holding.first, holding.last) * time;
        let by_load = (1..PIECES).find(|pieces| load <= f64::from(*pieces) * PIECE_USE);
        let pieces = by_load.unwrap_or(PIECES).max(holding.len() / PIECE_KEYS).min(PIECES);
        give(holding.first, holding.last, pieces, &mut sides, demand, &mut moves);
    }
    moves
}

fn sides<'a>(table: &Table, candidates: &'a [Candidate], demand: &Demand) -> Vec<Side<'a>> {
    let rates = rates(table, demand);
    let mut keys: HashMap<&Incarnation, u32> = HashMap::new();
    for holding in &table.holdings {
        *keys.entry(&holding.owner).or_default() += holding.len();
    }
    let side = |candidate: &'a Candidate| {
        let rate = rates.get(&candidate.incarnation).copied().unwrap_or_default();
        let keys = keys.get(&candidate.incarnation).copied().unwrap_or_default();
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
        moves.push(Move { first: start, last: stop, to: side.candidate.incarnation.clone() });
    }
}

/// Returns the requests a second for the keys of each owner.
pub fn rates(table: &Table, demand: &Demand) -> HashMap<Incarnation, f64> {
    let mut rates: HashMap<Incarnation, f64> = HashMap::new();
    for holding in &table.holdings {
        *rates.entry(holding.owner.clone()).or_default() +=
            demand.rate(holding.first, holding.last);
    }
    rates
}
