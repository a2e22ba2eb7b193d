//! Start of a term, in particular the first one of an era of the store, for which the stored tables
//! may be older than the grants that targets hold.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::coordinator::CALL_TIMEOUT;
use crate::coordinator::Call;
use crate::coordinator::Class;
use crate::coordinator::Coordinator;
use crate::coordinator::Options;
use crate::coordinator::RELEASE_RETRY_INTERVAL;
use crate::coordinator::Reply;
use crate::coordinator::Request;
use crate::coordinator::worst_case_duration;
use crate::era;
use crate::era::Basis;
use crate::membership::Incarnation;
use crate::membership::REREGISTRATION_GRACE;
use crate::membership::Registry;
use crate::ownership::LAST_KEY;
use crate::proof::Proof;

/// Time after a new era was first seen in which the entries of all running targets arrive: the time
/// in which they register, and 500 ms in which the watch returns the changes.
const REGISTRATION_TIME: Duration = Duration::from_millis(500).saturating_add(REREGISTRATION_GRACE);

/// Tokens above which those of a term start.
#[derive(Clone, Debug, Default)]
pub(super) struct Floors {
    /// Floor of the era.
    era: u64,
    /// Highest tokens that this instance has seen, by service.
    seen: BTreeMap<Arc<str>, u64>,
}

impl Floors {
    pub(super) fn of(&self, service: &str) -> u64 {
        self.seen.get(service).copied().unwrap_or(0).max(self.era)
    }
}

/// Release of all keys of a target.
#[derive(Clone, Debug, Default)]
struct Release {
    in_flight: bool,
    last_sent: Option<Stamp>,
    done: bool,
}

/// Releases of all keys of all targets, while any target may hold any key.
#[derive(Clone, Debug)]
pub(super) struct Recovery {
    /// When targets that still run have registered in the new era.
    registered_at: Stamp,
    /// When the last unknown grant ends.
    end: Stamp,
    /// Services with keys.
    services: Vec<Arc<str>>,
    releases: HashMap<(Arc<str>, Incarnation), Release>,
}

impl Recovery {
    /// Records the reply to a release. Returns false if the call is none of this recovery.
    pub(super) fn record_reply(&mut self, call: &Call, reply: &Reply) -> bool {
        let id = (call.service.clone(), call.incarnation.clone());
        let Some(release) = self.releases.get_mut(&id) else { return false };
        release.in_flight = false;
        release.done |= Proof::of_reply(call, reply).is_some();
        true
    }
}

/// What an instance knows when it is elected.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The owners.
    pub basis: Basis,
    /// Era of the store.
    pub latest: era::Latest,
    /// Highest token of each service that this instance has seen.
    pub fences: BTreeMap<Arc<str>, u64>,
    /// Services with keys.
    pub services: Vec<Arc<str>>,
}

impl Coordinator {
    /// Starts a term. `confirmed_at` is when the call that took the leadership was sent, `now` is
    /// when its success became known.
    pub fn take_over(
        options: Options,
        takeover: Takeover,
        confirmed_at: Stamp,
        now: Stamp,
    ) -> Self {
        let Takeover { basis, latest, fences, mut services } = takeover;
        let horizon = options.grant_horizon;
        let mut coordinator = match basis {
            Basis::Stored(tables) => Self::new(options, tables, confirmed_at, now),
            Basis::Announced(tables, expiries) => {
                let mut coordinator = Self::new(options, tables, confirmed_at, now);
                coordinator.limit_inherited_grants(&expiries);
                coordinator
            }
            Basis::Unknown(tables) => {
                services.extend(tables.keys().cloned());
                services.extend(fences.keys().cloned());
                services.sort();
                services.dedup();
                let mut coordinator = Self::new(options, tables, confirmed_at, now);
                coordinator.recovery = Some(Recovery {
                    registered_at: latest.seen_at() + REGISTRATION_TIME,
                    end: era::unknown_grants_end(latest.seen_at(), horizon),
                    services,
                    releases: HashMap::new(),
                });
                coordinator
            }
        };
        coordinator.floors = Floors { era: era::token_floor(latest.era()), seen: fences };
        coordinator
    }

    /// Returns the incarnations that may hold keys under grants of this or earlier coordinators,
    /// with the remaining time. The result is valid only if no further grants are sent.
    pub fn outstanding_grants(&self, now: Stamp) -> Vec<(Incarnation, Duration)> {
        let mut holds = self.holds.clone();
        for (incarnation, recipient) in &self.recipients {
            if recipient.calls_in_flight > 0 {
                let longest = worst_case_duration(recipient.longest_in_flight);
                holds.raise(incarnation, now + CALL_TIMEOUT + longest);
            }
        }
        let unexpired = holds.ends().into_iter().filter(|(_, end)| *end > now);
        unexpired.map(|(incarnation, end)| (incarnation, end.since(now))).collect()
    }

    /// Replaces the worst-case expiry of inherited grants by the result of
    /// [`Coordinator::outstanding_grants`] on the only coordinator that has sent grants since the
    /// tables were last written.
    pub fn limit_inherited_grants(&mut self, expiries: &HashMap<Incarnation, Stamp>) {
        self.holds.limit(expiries);
    }

    /// Returns how many targets may hold keys under grants of earlier coordinators, and the longest
    /// remaining time.
    pub fn inherited_grants(&self, now: Stamp) -> (usize, Duration) {
        self.holds.remaining_inherited(now)
    }

    /// Returns whether any target may hold any key under grants of an earlier era. Neither may
    /// grants be sent nor tables be written: a successor takes tables of the current era for
    /// complete.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Returns whether the term may still start anew from an announcement of the last coordinator:
    /// no release was sent, which would be in conflict with later grants.
    pub fn can_start_anew(&self) -> bool {
        self.recovery.as_ref().is_some_and(|recovery| recovery.releases.is_empty())
    }

    /// Returns when the latest successful confirmation of the leadership was sent.
    pub fn confirmed_at(&self) -> Stamp {
        self.confirmed_at
    }

    /// Returns the highest token of each service that was ever assigned.
    pub fn fences(&self) -> BTreeMap<Arc<str>, u64> {
        let mut fences = self.floors.seen.clone();
        for (service, state) in &self.services {
            let fence = fences.entry(service.clone()).or_default();
            *fence = state.table.fence.max(*fence);
        }
        fences
    }

    /// Returns the releases that are due, and ends the recovery once the last unknown grant has
    /// ended or all targets have answered.
    pub(super) fn due_recovery_calls(&mut self, registry: &Registry, now: Stamp) -> Vec<Call> {
        let Some(mut recovery) = self.recovery.take() else { return vec![] };
        if now > recovery.end {
            return vec![];
        }
        let mut calls = Vec::new();
        // A target that this instance does not know may hold keys too, so that the releases prove
        // nothing before all running targets have registered. Until then, and during the wait for
        // an announcement of the last coordinator, targets serve under the grants that they have.
        if now > recovery.registered_at {
            let mut done = true;
            for service in &recovery.services {
                let owners = self.services.get(service).into_iter().flat_map(|state| {
                    let holdings = state.table.holdings.iter();
                    holdings.flat_map(|h| std::iter::once(&h.owner).chain(&h.earlier).cloned())
                });
                let mut incarnations = registry.recent_incarnations(service);
                incarnations.extend(owners);
                incarnations.sort();
                incarnations.dedup();
                // The token is above all earlier ones and below those of this term.
                let fence = self.floors.of(service);
                for incarnation in incarnations {
                    let id = (service.clone(), incarnation.clone());
                    let release = recovery.releases.entry(id).or_default();
                    done &= release.done;
                    let recent =
                        release.last_sent.is_some_and(|at| now.since(at) < RELEASE_RETRY_INTERVAL);
                    let class = Class::Release;
                    if release.done || release.in_flight || recent || !self.in_flight.admits(class)
                    {
                        continue;
                    }
                    (release.in_flight, release.last_sent) = (true, Some(now));
                    self.in_flight.add(class);
                    let (first, last) = (0, LAST_KEY);
                    let (service, request) = (service.clone(), Request::Release);
                    let connection = None;
                    calls.push(Call {
                        service,
                        incarnation,
                        first,
                        last,
                        fence,
                        request,
                        connection,
                        class,
                    });
                }
            }
            if done {
                for (_, incarnation) in recovery.releases.keys() {
                    // Delayed grants of earlier eras have a lower token than the release.
                    self.holds.end(incarnation);
                }
                return calls;
            }
        }
        self.recovery = Some(recovery);
        calls
    }
}
