//! Assignment of keys that have no usable owner.

use std::collections::HashMap;

use crate::demand::Demand;
use crate::membership::Incarnation;
use crate::ownership::Holding;
use crate::ownership::LAST_KEY;
use crate::ownership::Move;
use crate::ownership::Table;

/// Largest number of pieces into which the keys of a lost target are divided, so that no other
/// target takes over its whole load.
const MAX_PIECES: u32 = 4;

/// Number of keys and utilization that justify one piece.
const PIECE_KEYS: u32 = 2048;
const PIECE_UTILIZATION: f64 = 0.3;

/// A target that can own keys.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Number of requests that the target processes concurrently.
    pub slots: f64,
    /// Mean service time in seconds.
    pub service_time: f64,
}

/// Share of the targets of a service that must be warm for cold owners to lose their keys. With
/// fewer, the few warm ones would get several times the keys that they can serve.
const MIN_WARM_SHARE: f64 = 0.5;

/// Returns the targets that may own keys, given all usable ones and whether each is cold. While
/// there are warm ones, a cold target gets no keys. One that owns keys loses them if enough others
/// are warm.
pub fn prefer_warm(usable: Vec<(Candidate, bool)>, table: &Table) -> Vec<Candidate> {
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    let warm = usable.iter().filter(|(_, cold)| !cold).count();
    let enough = count(warm) >= count(usable.len()) * MIN_WARM_SHARE;
    let owns = |incarnation: &Incarnation| {
        table.holdings.iter().any(|holding| holding.owner == *incarnation)
    };
    usable
        .into_iter()
        .filter(|(candidate, cold)| !cold || warm == 0 || (!enough && owns(&candidate.incarnation)))
        .map(|(candidate, _)| candidate)
        .collect()
}

struct Load<'a> {
    candidate: &'a Candidate,
    /// Requests per second.
    rate: f64,
    /// Number of keys.
    keys: u32,
}

impl Load<'_> {
    fn utilization(&self, rate: f64) -> f64 {
        rate * self.candidate.service_time / self.candidate.slots.max(1.0)
    }

    /// Load for comparisons, in which the number of keys decides if no requests were counted.
    fn weight(&self) -> f64 {
        let keys = f64::from(self.keys) / (f64::from(LAST_KEY) + 1.0);
        self.utilization(self.rate)
            + 0.1 * keys * self.candidate.service_time / self.candidate.slots.max(1.0)
    }
}

/// Returns moves that assign every key without a usable owner to one of the candidates.
pub fn repair(table: &Table, candidates: &[Candidate], demand: &Demand) -> Vec<Move> {
    repair_except(table, candidates, &|_| false, demand)
}

/// Does the same as [`repair`], except that owners which `may_stay` keep their keys although they
/// are no candidates.
pub fn repair_except(
    table: &Table,
    candidates: &[Candidate],
    may_stay: &dyn Fn(&Incarnation) -> bool,
    demand: &Demand,
) -> Vec<Move> {
    let mut loads = loads(table, candidates, demand);
    let mut moves = Vec::new();
    if loads.is_empty() {
        return moves;
    }
    for (first, last) in table.unowned_ranges() {
        let pieces = u32::try_from(candidates.len()).unwrap_or(1);
        let pieces = if table.holdings.is_empty() { pieces } else { pieces.min(MAX_PIECES) };
        assign(first, last, pieces, &mut loads, demand, &mut moves);
    }
    for holding in &table.holdings {
        if candidates.iter().any(|candidate| candidate.incarnation == holding.owner)
            || may_stay(&holding.owner)
        {
            continue;
        }
        let restarted =
            candidates.iter().find(|candidate| candidate.incarnation.id == holding.owner.id);
        if let Some(restarted) = restarted {
            let (first, last) = (holding.first, holding.last);
            moves.push(Move { first, last, to: restarted.incarnation.clone() });
            continue;
        }
        divide(holding, candidates, &mut loads, demand, &mut moves);
    }
    moves
}

/// Returns moves that assign the keys of some holdings to the candidates, which do not own them.
pub fn reassign(
    table: &Table,
    holdings: &[&Holding],
    candidates: &[Candidate],
    demand: &Demand,
) -> Vec<Move> {
    let mut loads = loads(table, candidates, demand);
    let mut moves = Vec::new();
    for holding in holdings {
        divide(holding, candidates, &mut loads, demand, &mut moves);
    }
    moves
}

/// Assigns the keys of a holding in as many pieces as its load and size justify.
fn divide(
    holding: &Holding,
    candidates: &[Candidate],
    loads: &mut [Load<'_>],
    demand: &Demand,
    moves: &mut Vec<Move>,
) {
    let time = candidates.iter().map(|c| c.service_time / c.slots.max(1.0)).fold(0.0, f64::max);
    let load = demand.rate(holding.first, holding.last) * time;
    let by_load = (1..MAX_PIECES).find(|pieces| load <= f64::from(*pieces) * PIECE_UTILIZATION);
    let pieces = by_load.unwrap_or(MAX_PIECES).max(holding.len() / PIECE_KEYS).min(MAX_PIECES);
    assign(holding.first, holding.last, pieces, loads, demand, moves);
}

fn loads<'a>(table: &Table, candidates: &'a [Candidate], demand: &Demand) -> Vec<Load<'a>> {
    let rates = rates(table, demand);
    let mut keys: HashMap<&Incarnation, u32> = HashMap::new();
    for holding in &table.holdings {
        *keys.entry(&holding.owner).or_default() += holding.len();
    }
    let load = |candidate: &'a Candidate| {
        let rate = rates.get(&candidate.incarnation).copied().unwrap_or_default();
        let keys = keys.get(&candidate.incarnation).copied().unwrap_or_default();
        Load { candidate, rate, keys }
    };
    candidates.iter().map(load).collect()
}

/// Divides a range of keys into pieces and assigns each to the least loaded target.
fn assign(
    first: u16,
    last: u16,
    pieces: u32,
    loads: &mut [Load<'_>],
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
        let least = loads.iter_mut().min_by(|a, b| a.weight().total_cmp(&b.weight()));
        let Some(load) = least else { return };
        load.rate += demand.rate(start, stop);
        load.keys += u32::from(stop) - u32::from(start) + 1;
        moves.push(Move { first: start, last: stop, to: load.candidate.incarnation.clone() });
    }
}

/// Returns the requests per second for the keys of each owner.
pub fn rates(table: &Table, demand: &Demand) -> HashMap<Incarnation, f64> {
    let mut rates: HashMap<Incarnation, f64> = HashMap::new();
    for holding in &table.holdings {
        *rates.entry(holding.owner.clone()).or_default() +=
            demand.rate(holding.first, holding.last);
    }
    rates
}
