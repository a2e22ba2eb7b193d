//! From whom an instance learns the contents of the store.
//!
//! In the steady state only the coordinator watches the store, and every other instance learns
//! changes from the responses to its reports. While the coordinator is silent or not up to date, a
//! few deputies in each failure domain watch the store and the others ask them. Every state has an
//! exit that needs no message: an instance that hears nothing up to date for [`MAX_SILENCE`]
//! watches the store itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::membership::Incarnation;
use crate::rendezvous;
use crate::rendezvous::Domains;

/// Time without news after which an instance watches the store itself. A configuration has to be
/// in force 2.5 s after it was acknowledged; the rest is for the calls to the store.
pub const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// Time for which a deputy watches the store after another instance has asked it: several
/// intervals between the reports in a large fleet, so that it does not stop between two of them.
const SERVICE_TIME: Duration = Duration::from_secs(3);

/// Number of deputies in each failure domain, so that the failure of one leaves another.
const DEPUTIES_PER_DOMAIN: usize = 2;

/// Smallest processor share of a deputy, as a ratio of the largest one in its failure domain.
const MIN_CAPACITY_RATIO: f64 = 0.5;

/// Time from a change of the store to the response of a watch that was waiting for it.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Returns the earliest time at which changes in a response of the store can have been made. The
/// contents were known as of `known`, and the call was sent at `sent`. A watch that had to wait
/// responds to a change at once; otherwise the change may be as old as the view.
pub fn changed_since(known: Stamp, sent: Stamp, now: Stamp) -> Stamp {
    let waited = now.since(sent) > DELIVERY_TIME;
    if waited { known.max(now - DELIVERY_TIME) } else { known.min(now) }
}

/// Returns the time as of which a response of a watch that was sent at `sent` shows all changes. Other
/// responses of the store, such as that to a renewal, show none.
pub fn viewed_at(sent: Stamp, now: Stamp) -> Stamp {
    sent.max(now - DELIVERY_TIME)
}

/// How an instance learns the contents of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Mode {
    /// It watches the store.
    Store,
    /// It learns changes from the responses of another instance.
    Delegated {
        /// The other instance.
        source: Arc<str>,
        /// Whether the other instance is the coordinator rather than a deputy.
        coordinator: bool,
        /// When this instance stopped watching the store.
        since: Stamp,
        /// When the report was sent to which an instance last responded that it is up to date.
        last_news: Stamp,
    },
    /// It watches the store as the coordinator.
    Coordinating,
}

/// Response of another instance to a report.
#[derive(Clone, Debug)]
pub struct News {
    /// The responding instance.
    pub source: Arc<str>,
    /// Whether it is the coordinator.
    pub leading: bool,
    /// Whether it watches the store and is up to date.
    pub fresh: bool,
    /// When the report was sent. A response may be read late, for example after a pause of the
    /// process, so its arrival proves nothing.
    pub sent: Stamp,
    /// How long before its response the other instance had last heard from the store.
    pub age: Duration,
}

/// From whom an instance learns the contents of the store.
#[derive(Clone, Debug)]
pub struct Following {
    name: Arc<str>,
    mode: Mode,
    /// When another instance last asked this one because it hears from no coordinator.
    asked_at: Option<Stamp>,
    /// Time as of which the contents of the store are known.
    known_at: Stamp,
}

impl Following {
    /// Creates the state of an instance that has just started.
    pub fn new(name: Arc<str>, now: Stamp) -> Self {
        Self { name, mode: Mode::Store, asked_at: None, known_at: now }
    }

    /// Returns how this instance learns the contents of the store.
    pub fn mode(&self) -> &Mode {
        &self.mode
    }

    /// Returns whether this instance watches the store.
    pub fn watches_store(&self) -> bool {
        !matches!(self.mode, Mode::Delegated { .. })
    }

    /// Returns the time since the store, or an instance that is up to date with it, was last heard
    /// from, or since the start.
    pub fn age(&self, now: Stamp) -> Duration {
        now.since(self.known_at)
    }

    /// Records a response of the store to this instance.
    pub fn record_store_response(&mut self, now: Stamp) {
        self.known_at = self.known_at.max(now);
    }

    /// Records a response to a report. `deputy` is whether this instance is a deputy. Returns
    /// whether this instance follows the other one from now on.
    pub fn record_news(&mut self, news: News, deputy: bool, now: Stamp) -> bool {
        // An instance that counted its own responses would follow nobody.
        if !news.fresh || news.source == self.name || self.mode == Mode::Coordinating {
            return false;
        }
        self.known_at = self.known_at.max(news.sent - news.age);
        let busy = self.asked_at.is_some_and(|at| now.since(at) < SERVICE_TIME);
        // A deputy does not follow another deputy, since both would stop watching the store, and
        // it continues to watch the store while other instances ask it.
        if now.since(news.sent) >= MAX_SILENCE || deputy && (busy || !news.leading) {
            return false;
        }
        let (since, last_news) = match self.mode {
            Mode::Delegated { since, last_news, .. } => (since, last_news.max(news.sent)),
            Mode::Store | Mode::Coordinating => (now, news.sent),
        };
        let (source, coordinator) = (news.source, news.leading);
        self.mode = Mode::Delegated { source, coordinator, since, last_news };
        true
    }

    /// Records that an instance did not respond to a report, or is not up to date.
    pub fn record_failure(&mut self, source: &str, deputy: bool) {
        let follows = matches!(&self.mode, Mode::Delegated { source: s, .. } if **s == *source);
        if follows && deputy {
            self.mode = Mode::Store;
        }
    }

    /// Records that another instance, which hears from no coordinator that is up to date, has asked
    /// this one.
    pub fn record_question(&mut self, deputy: bool, now: Stamp) {
        if !deputy {
            return;
        }
        self.asked_at = Some(now);
        if self.mode != Mode::Coordinating {
            self.mode = Mode::Store;
        }
    }

    /// Records that another coordinator, or none, is known from now on.
    pub fn record_leader(&mut self, leader: Option<&str>, deputy: bool) {
        let replaced = matches!(
            &self.mode,
            Mode::Delegated { source, coordinator: true, .. } if Some(&**source) != leader
        );
        if replaced && deputy {
            self.mode = Mode::Store;
        }
    }

    /// Records that this instance was elected coordinator.
    pub fn begin_term(&mut self) {
        self.mode = Mode::Coordinating;
    }

    /// Records that the term of this instance as coordinator has ended.
    pub fn end_term(&mut self) {
        if self.mode == Mode::Coordinating {
            self.mode = Mode::Store;
        }
    }

    /// Makes this instance watch the store if it has had no news for [`MAX_SILENCE`].
    pub fn expire(&mut self, now: Stamp) {
        if let Mode::Delegated { last_news, .. } = self.mode
            && now.since(last_news) >= MAX_SILENCE
        {
            self.mode = Mode::Store;
        }
    }
}

/// Identity under which the deputies of a failure domain are ranked.
fn seat(domain: &str) -> Incarnation {
    Incarnation { id: domain.into(), born: 0 }
}

/// The instances among which deputies are chosen. Instances that know the same ones choose the same
/// deputies.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// Failure domains of the instances.
    pub instances: &'a Domains,
    /// Processor shares of the instances.
    pub capacities: &'a BTreeMap<Arc<str>, f64>,
    /// Name of the coordinator. It is no deputy, since deputies replace it.
    pub leader: Option<&'a str>,
}

impl<'a> Fleet<'a> {
    /// Returns the deputies of a failure domain: the first instances in the order of their weights
    /// that have a large enough processor share. A deputy is the first to see that the
    /// coordinator is gone, so it is often the next one.
    pub fn deputies(&self, domain: &str) -> Vec<&'a Arc<str>> {
        let seat = seat(domain);
        let capacity = |name: &str| self.capacities.get(name).copied().unwrap_or(0.0);
        let eligible: Vec<&'a Arc<str>> = self
            .instances
            .iter()
            .filter(|(_, place)| ***place == *domain)
            .map(|(name, _)| name)
            .filter(|name| self.leader.is_none_or(|leader| ***name != *leader))
            .collect();
        let largest = eligible.iter().map(|name| capacity(name)).fold(0.0, f64::max);
        let large = |name: &&&'a Arc<str>| capacity(name) >= largest * MIN_CAPACITY_RATIO;
        let weight = |name: &'a Arc<str>| (rendezvous::weight(name, &seat), name);
        let mut ranked: Vec<_> = eligible.iter().filter(large).map(|name| weight(name)).collect();
        ranked.sort_by(|a, b| b.cmp(a));
        ranked.into_iter().take(DEPUTIES_PER_DOMAIN).map(|(_, name)| name).collect()
    }

    /// Returns the instance that `name` asks at its given attempt since it last had news: the
    /// deputies of its own failure domain, then those of the others, then all other instances.
    /// Each instance has an order of its own within these groups, which spreads the questions.
    pub fn source(&self, name: &str, attempt: usize) -> Option<&'a Arc<str>> {
        let own_domain = self.instances.get(name);
        let domains: BTreeSet<&Arc<str>> = self.instances.values().collect();
        let deputies: BTreeSet<&Arc<str>> =
            domains.into_iter().flat_map(|domain| self.deputies(domain)).collect();
        let asker = seat(name);
        let mut ranked: Vec<(bool, bool, u64, &'a Arc<str>)> = self
            .instances
            .iter()
            .filter(|(other, _)| ***other != *name)
            .filter(|(other, _)| self.leader.is_none_or(|leader| ***other != *leader))
            .map(|(other, domain)| {
                let near = Some(domain) == own_domain;
                (deputies.contains(other), near, rendezvous::weight(other, &asker), other)
            })
            .collect();
        ranked.sort_by(|a, b| b.cmp(a));
        let index = attempt.checked_rem(ranked.len())?;
        ranked.get(index).map(|(_, _, _, other)| *other)
    }
}
