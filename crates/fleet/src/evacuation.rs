//! Evacuations of failure domains.
//!
//! The operator may ask that nothing more be sent to the targets of a failure domain. Pooled
//! targets are avoided at once, and keys move away in batches, the busiest last. A request may use
//! a target of the domain only until shortly before the bound, whether or not the store or another
//! instance can be reached. After the evacuation the targets may be cold, so they return gradually.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use caraway_core::time::Stamp;

use crate::demand::Demand;
use crate::membership::Incarnation;
use crate::ownership::Holding;
use crate::ownership::Move;
use crate::ownership::Table;
use crate::plan;
use crate::plan::Candidate;

/// Time before the bound from which nothing is sent to the domain. It covers the time until the
/// first instance learns of the evacuation, and the time in which a request is in transit.
const SEND_MARGIN: Duration = Duration::from_secs(1);

/// Fraction of the time in which requests may use the domain within which all keys begin to move.
/// The rest is for handovers and for targets that answer late.
const MOVE_SHARE: f64 = 0.5;

/// Interval between batches of moves. Most handovers are complete within it, so that a receiver
/// takes over one batch after the other.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Time after an evacuation in which all targets of the domain count as cold. The entry of a target
/// that was idle, or started during the evacuation, states its warm-up time within two heartbeats.
const STATEMENT_TIME: Duration = Duration::from_secs(2);

/// Time after [`STATEMENT_TIME`] over which the targets of the domain get keys again, one after the
/// other.
const RETURN_TIME: Duration = Duration::from_secs(5);

/// Era and number of a revision of the store. The number counts from the beginning in a new era.
pub type Revision = (u64, u64);

/// What is known of a failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Evacuated {
        /// Time at which an instance first learned of the evacuation.
        since: Stamp,
        /// Whether that instance saw the entry appear. An entry that is found in a complete read
        /// may be old, and the bound may be over.
        seen: bool,
    },
    Restored {
        since: Stamp,
    },
}

/// Information about an evacuation that an instance passes on to others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    domain: Arc<str>,
    revision: Revision,
    /// Whether the domain is evacuated, or else restored.
    evacuated: bool,
    /// Milliseconds since an instance first learned of it.
    age_ms: u64,
    /// Whether that instance saw the entry appear.
    seen: bool,
}

/// Change of the state of a failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The evacuation of a domain began.
    Began(Arc<str>),
    /// The evacuation of a domain ended.
    Ended(Arc<str>),
}

/// Evacuations that are known to an instance.
#[derive(Clone, Debug)]
pub struct Evacuations {
    /// Time after the acknowledgment of an evacuation by which nothing more may arrive; without
    /// one, evacuations are ignored.
    bound: Option<Duration>,
    domains: BTreeMap<Arc<str>, (Revision, State)>,
}

impl Evacuations {
    /// Creates the state of an instance that knows of no evacuation.
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, domains: BTreeMap::new() }
    }

    /// Records that a domain is evacuated as of a revision. `seen` tells whether the entry was seen
    /// to appear, at `since`.
    pub fn begin(
        &mut self,
        domain: &str,
        revision: Revision,
        since: Stamp,
        seen: bool,
    ) -> Option<Change> {
        self.bound?;
        let state = State::Evacuated { since, seen };
        let Some((known, current)) = self.domains.get_mut(domain) else {
            self.domains.insert(domain.into(), (revision, state));
            return Some(Change::Began(domain.into()));
        };
        if revision < *known {
            return None;
        }
        *known = revision;
        match current {
            State::Evacuated { since: first, seen: seen_before } => {
                // One that was seen to appear is known more exactly.
                if seen && (!*seen_before || since < *first) {
                    *current = state;
                }
                None
            }
            State::Restored { .. } => {
                *current = state;
                Some(Change::Began(domain.into()))
            }
        }
    }

    /// Records that the evacuation of a domain ended as of a revision.
    pub fn end(&mut self, domain: &str, revision: Revision, since: Stamp) -> Option<Change> {
        let (known, current) = self.domains.get_mut(domain)?;
        if revision < *known {
            return None;
        }
        *known = revision;
        match current {
            State::Evacuated { .. } => {
                *current = State::Restored { since };
                Some(Change::Ended(domain.into()))
            }
            State::Restored { since: first } => {
                *first = since.min(*first);
                None
            }
        }
    }

    /// Ends the evacuations whose entries are missing in a complete read as of a revision.
    pub fn retain(
        &mut self,
        listed: &dyn Fn(&str) -> bool,
        revision: Revision,
        now: Stamp,
    ) -> Vec<Change> {
        let missing: Vec<Arc<str>> =
            self.domains.keys().filter(|domain| !listed(domain)).cloned().collect();
        missing.iter().filter_map(|domain| self.end(domain, revision, now)).collect()
    }

    /// Returns what is passed on to other instances.
    pub fn notices(&self, now: Stamp) -> Vec<Notice> {
        let notice = |(domain, (revision, state)): (&Arc<str>, &(Revision, State))| {
            let (evacuated, since, seen) = match state {
                State::Evacuated { since, seen } => (true, *since, *seen),
                State::Restored { since } => (false, *since, true),
            };
            let age_ms = caraway_core::time::millis(now.since(since));
            Notice { domain: domain.clone(), revision: *revision, evacuated, age_ms, seen }
        };
        self.domains.iter().map(notice).collect()
    }

    /// Takes in what another instance passed on.
    pub fn merge(&mut self, notice: &Notice, now: Stamp) -> Option<Change> {
        let since = now - Duration::from_millis(notice.age_ms);
        if notice.evacuated {
            self.begin(&notice.domain, notice.revision, since, notice.seen)
        } else {
            self.end(&notice.domain, notice.revision, since)
        }
    }

    /// Returns whether a domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        matches!(self.domains.get(domain), Some((_, State::Evacuated { .. })))
    }

    /// Returns the number of evacuated domains.
    pub fn count(&self) -> usize {
        self.domains.keys().filter(|domain| self.is_evacuated(domain)).count()
    }

    /// Returns whether nothing may be sent to the targets of a domain any more.
    pub fn is_closed(&self, domain: &str, now: Stamp) -> bool {
        let Some((_, State::Evacuated { since, seen })) = self.domains.get(domain) else {
            return false;
        };
        !seen || now.since(*since) >= self.usable_time()
    }

    /// Returns the time after the start of an evacuation in which requests may use the domain.
    fn usable_time(&self) -> Duration {
        self.bound.unwrap_or_default().saturating_sub(SEND_MARGIN)
    }

    /// Returns the time that is left for starting moves out of the domain that was evacuated last.
    fn time_for_moves(&self, now: Stamp) -> Duration {
        let starts = self.domains.values().filter_map(|(_, state)| match state {
            State::Evacuated { since, .. } => Some(*since),
            State::Restored { .. } => None,
        });
        let elapsed = starts.max().map_or(Duration::ZERO, |since| now.since(since));
        self.usable_time().mul_f64(MOVE_SHARE).saturating_sub(elapsed)
    }

    /// Returns whether the targets of a domain may be cold without having stated it, because an
    /// evacuation ended a moment ago.
    pub fn is_unstated(&self, domain: &str, now: Stamp) -> bool {
        match self.domains.get(domain) {
            Some((_, State::Restored { since })) => now.since(*since) < STATEMENT_TIME,
            _ => false,
        }
    }

    /// Returns whether a target may get keys that it does not own: the one at `position` among the
    /// `count` targets of its domain.
    pub fn may_receive(&self, domain: &str, position: usize, count: usize, now: Stamp) -> bool {
        match self.domains.get(domain) {
            None => true,
            Some((_, State::Evacuated { .. })) => false,
            Some((_, State::Restored { since })) => {
                let elapsed = now.since(*since).saturating_sub(STATEMENT_TIME);
                let share = elapsed.as_secs_f64() / RETURN_TIME.as_secs_f64();
                number(position) < share * number(count)
            }
        }
    }
}

impl Evacuations {
    /// Separates the usable targets of a service, each with whether it is cold, into those that may
    /// own keys and those in evacuated domains. A target whose domain was evacuated until a moment
    /// ago may own keys if it has some already or its turn has come.
    pub fn divide(
        &self,
        usable: Vec<(Candidate, bool)>,
        table: &Table,
        domain: &dyn Fn(&Incarnation) -> Arc<str>,
        now: Stamp,
    ) -> (Vec<(Candidate, bool)>, HashSet<Incarnation>) {
        let mut counts: HashMap<Arc<str>, usize> = HashMap::new();
        for (candidate, _) in &usable {
            *counts.entry(domain(&candidate.incarnation)).or_default() += 1;
        }
        let owners: HashSet<&Incarnation> =
            table.holdings.iter().map(|holding| &holding.owner).collect();
        let mut positions: HashMap<Arc<str>, usize> = HashMap::new();
        let (mut allowed, mut leaving) = (Vec::new(), HashSet::new());
        for (candidate, cold) in usable {
            let domain = domain(&candidate.incarnation);
            let count = counts.get(&domain).copied().unwrap_or_default();
            let position = positions.entry(domain.clone()).or_default();
            let in_turn = self.may_receive(&domain, *position, count, now);
            *position += 1;
            if self.is_evacuated(&domain) {
                leaving.insert(candidate.incarnation);
            } else if in_turn || owners.contains(&candidate.incarnation) {
                allowed.push((candidate, cold));
            }
        }
        (allowed, leaving)
    }
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// A keyed service as the coordinator sees it.
#[derive(Clone, Copy, Debug)]
pub struct Service<'a> {
    /// Name of the service.
    pub name: &'a Arc<str>,
    /// Holdings of the service.
    pub table: &'a Table,
    /// Targets that may get keys, none of them in an evacuated domain.
    pub receivers: &'a [Candidate],
    /// Requests for its keys.
    pub demand: &'a Demand,
}

/// Batches of moves out of evacuated domains.
#[derive(Clone, Debug, Default)]
pub struct Batches {
    /// Time of the latest batch of each service.
    latest: HashMap<Arc<str>, Stamp>,
}

impl Batches {
    /// Returns the next batch of moves of a service, which is empty if none is due. `is_leaving`
    /// tells whether an owner is in an evacuated domain.
    pub fn next(
        &mut self,
        service: Service<'_>,
        is_leaving: &dyn Fn(&Incarnation) -> bool,
        evacuations: &Evacuations,
        now: Stamp,
    ) -> Vec<Move> {
        let Service { name, table, receivers, demand } = service;
        let mut holdings: Vec<(f64, &Holding)> = table
            .holdings
            .iter()
            .filter(|holding| is_leaving(&holding.owner))
            .map(|holding| (demand.rate(holding.first, holding.last), holding))
            .collect();
        let too_soon = |latest: &Stamp| now.since(*latest) < BATCH_INTERVAL;
        if holdings.is_empty()
            || receivers.is_empty()
            || self.latest.get(name).is_some_and(too_soon)
        {
            return Vec::new();
        }
        self.latest.insert(name.clone(), now);
        // The busiest keys move last: until then they are served without interruption, and the
        // receivers have taken over the rest.
        holdings.sort_by(|(a, one), (b, other)| a.total_cmp(b).then(one.first.cmp(&other.first)));
        let left = evacuations.time_for_moves(now);
        let batches = (left.as_secs_f64() / BATCH_INTERVAL.as_secs_f64()).floor().max(1.0);
        let due = (number(holdings.len()) / batches).ceil();
        let due = (0..holdings.len()).take_while(|index| number(*index) < due).count();
        let batch: Vec<&Holding> = holdings.iter().take(due).map(|(_, holding)| *holding).collect();
        plan::reassign(table, &batch, receivers, demand)
    }
}
