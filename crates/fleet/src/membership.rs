//! Targets that are listed in the platform's registry.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::era::Revision;

/// Time for which an entry that is missing after an outage of the store is still used. A running
/// target registers again within two seconds of the store's recovery.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);

/// Incarnation of a target, since a target may restart under the same id.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Incarnation {
    /// Id of the target.
    pub id: Arc<str>,
    /// Start of this incarnation in milliseconds since 1970, on the target's clock.
    pub born: u64,
}

/// Registry entry of a target.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Target {
    /// Incarnation of the target.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: Arc<str>,
    /// Service that the target runs.
    pub service: Arc<str>,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is draining.
    pub draining: bool,
    /// Remaining warm-up time, during which the target is slow.
    #[serde(rename = "cold")]
    pub warmup: Duration,
}

/// A listed target with the times at which this process observed it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Registry entry.
    pub target: Arc<Target>,
    /// When this incarnation was first seen.
    pub first_seen: Stamp,
    /// When the target was first known to be draining, from its entry or from its responses.
    pub draining_since: Option<Stamp>,
    /// Whether the entry was found draining by a process that has just started, to which no other
    /// instance has said since when. The target gets no requests, since its drain time may be over.
    pub drain_age_unknown: bool,
    /// When its entry first said so; `None` while the entry says that the target is ready.
    listed_draining_since: Option<Stamp>,
    /// Since when the entry has been missing from a list that followed an outage of the store.
    pub missing_since: Option<Stamp>,
    /// End of the warm-up time.
    pub warm_at: Stamp,
}

/// Change of the registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A target, or a new incarnation of one, joined.
    Joined(Arc<Target>),
    /// A target started to drain, according to its entry or to its own announcement.
    Draining(Arc<Target>),
    /// A target is no longer listed.
    Gone(Arc<Target>),
}

/// Time for which a target that is no longer listed is retained, longer than any grant lasts.
const FORMER_RETENTION: Duration = Duration::from_secs(60);

/// A target that is no longer listed.
#[derive(Clone, Debug)]
struct Former {
    target: Arc<Target>,
    removed_at: Stamp,
}

/// Time for which the announced departure of a target is retained. The entry of a target that is
/// leaving may be removed and return while the target still runs.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(600);

/// Age up to which an announced departure is passed on to other instances: several intervals
/// between their reports.
const DEPARTURE_NEWS_AGE: Duration = Duration::from_secs(5);

/// Reason for which an entry does not change the targets that are listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Objection {
    /// No configuration has named its service. The entry is kept until one does.
    UnknownService(Arc<str>),
    /// It states another address or service for an incarnation that is listed. Neither changes
    /// while a target runs, so the entry comes from another writer.
    Contradiction,
}

impl fmt::Display for Objection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(service) => {
                write!(f, "no configuration names the service {service:?}")
            }
            Self::Contradiction => {
                f.write_str("the target is listed with another address or service since its start")
            }
        }
    }
}

/// Targets that are listed, and those that were until recently.
///
/// An entry to which there is an [`Objection`] lists no target and changes none: what other entries
/// say of the same id or address stays in force.
///
/// That a target is leaving is known from its entry and from its own responses. The two sources are
/// joined here: the earlier one counts, and an entry that says `ready` revokes only what an earlier
/// entry said, since an incarnation that has announced its departure does not return.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    members: HashMap<Arc<str>, Member>,
    former: HashMap<Incarnation, Former>,
    /// Ids of listed targets by address.
    addresses: HashMap<SocketAddr, Arc<str>>,
    /// Services that a configuration has named, if entries of others are not listed.
    services: Option<HashSet<Arc<str>>>,
    /// Entries of services that no configuration has named, by id, with the time of their arrival.
    unlisted: HashMap<Arc<str>, (Target, Stamp)>,
    /// Incarnations that have announced their departure in a response, with the time.
    departures: HashMap<Incarnation, Stamp>,
    /// Revision of the latest known change of each entry, including removals, and when this
    /// process learned of it.
    revisions: HashMap<Arc<str>, (Revision, Stamp)>,
}

/// Returns the earlier of two times of which either may be unknown.
fn earliest(a: Option<Stamp>, b: Option<Stamp>) -> Option<Stamp> {
    a.into_iter().chain(b).min()
}

impl Member {
    /// Returns the registry entry as of now. The warm-up time that the entry stated has partly
    /// passed, and an instance that gets the entry from here counts it from its arrival.
    pub fn entry(&self, now: Stamp) -> Target {
        Target { warmup: self.warm_at.since(now), ..(*self.target).clone() }
    }
}

impl Registry {
    /// Creates a registry that lists only targets of services that a configuration has named.
    pub fn for_named_services() -> Self {
        Self { services: Some(HashSet::new()), ..Self::default() }
    }

    /// Returns the reason for which an entry does not change the listed targets, if there is one.
    pub fn objection(&self, target: &Target) -> Option<Objection> {
        if self.services.as_ref().is_some_and(|services| !services.contains(&target.service)) {
            return Some(Objection::UnknownService(target.service.clone()));
        }
        let listed = &self.members.get(&target.incarnation.id)?.target;
        let same = listed.incarnation == target.incarnation;
        let identity = |target: &Target| (target.address, target.service.clone());
        let contradicts = same && identity(listed) != identity(target);
        contradicts.then_some(Objection::Contradiction)
    }

    /// Records the services that a configuration names, and lists the targets of which entries have
    /// arrived before. Returns the changes. A service stays named when a later configuration omits
    /// it: its targets may still hold keys and run requests.
    pub fn name_services(
        &mut self,
        services: impl IntoIterator<Item = Arc<str>>,
        now: Stamp,
    ) -> Vec<Change> {
        let Some(named) = &mut self.services else { return vec![] };
        named.extend(services);
        let known = |id: &&Arc<str>| {
            self.unlisted.get(*id).is_some_and(|(target, _)| named.contains(&target.service))
        };
        let mut ids: Vec<Arc<str>> = self.unlisted.keys().filter(known).cloned().collect();
        ids.sort();
        let mut changes = Vec::new();
        for id in ids {
            let Some((mut target, arrived)) = self.unlisted.remove(&id) else { continue };
            target.warmup = (arrived + target.warmup).since(now);
            changes.extend(self.put(target, now));
            // It may have been draining for as long as the entry has been known, or longer.
            self.record_unknown_drain_age(&id);
        }
        changes
    }

    /// Returns the entry with an id as of now, also if it lists no target yet.
    pub fn entry(&self, id: &str, now: Stamp) -> Option<Target> {
        let listed = self.members.get(id).map(|member| member.entry(now));
        listed.or_else(|| {
            let (target, arrived) = self.unlisted.get(id)?;
            Some(Target { warmup: (*arrived + target.warmup).since(now), ..target.clone() })
        })
    }

    /// Returns the ids of all entries, including those that list no target yet.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        let unlisted = self.unlisted.keys().filter(|id| !self.members.contains_key(*id));
        self.members.keys().chain(unlisted)
    }

    /// Returns all listed targets.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the listed target with an id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns the revision of the latest known change of an entry, or zero.
    pub fn entry_revision(&self, id: &str) -> Revision {
        self.revisions.get(id).map(|(revision, _)| *revision).unwrap_or_default()
    }

    /// Records the revision of a change of an entry. Returns whether to apply the change: a change
    /// that is older than what is known must not replace it. The revision of a removed entry is
    /// retained for [`FORMER_RETENTION`], longer than any response is under way.
    pub fn accept(&mut self, id: &Arc<str>, revision: Revision, now: Stamp) -> bool {
        let (known, at) = self.revisions.entry(id.clone()).or_insert((revision, now));
        if *known > revision {
            return false;
        }
        (*known, *at) = (revision, now);
        true
    }

    /// Records that the entry of a target has been missing since an outage of the store, as another
    /// instance knows.
    pub fn record_missing(&mut self, id: &str, since: Stamp) {
        if let Some(member) = self.members.get_mut(id)
            && member.draining_since.is_none()
        {
            member.missing_since.get_or_insert(since);
        }
    }

    /// Records an entry and returns the change that it means, if any.
    pub fn put(&mut self, target: Target, now: Stamp) -> Option<Change> {
        let objection = self.objection(&target);
        self.unlisted.remove(&target.incarnation.id);
        match objection {
            None => {}
            Some(Objection::UnknownService(_)) => {
                self.unlisted.insert(target.incarnation.id.clone(), (target, now));
                return None;
            }
            Some(Objection::Contradiction) => return None,
        }
        let target = Arc::new(target);
        let warm_at = now + target.warmup;
        if let Some(member) = self.members.get_mut(&target.incarnation.id)
            && member.target.incarnation == target.incarnation
        {
            member.missing_since = None;
            member.warm_at = warm_at;
            member.target = target.clone();
            if target.draining {
                member.listed_draining_since.get_or_insert(now);
            } else {
                member.listed_draining_since = None;
                member.drain_age_unknown = false;
            }
            let known_before = member.draining_since.is_some();
            let announced = self.departures.get(&target.incarnation).copied();
            member.draining_since = earliest(member.listed_draining_since, announced);
            let drain_started = target.draining && !known_before;
            return drain_started.then_some(Change::Draining(target));
        }
        if let Some(former) = self.members.remove(&target.incarnation.id) {
            self.unlist(&former.target, now);
        }
        let listed_draining_since = target.draining.then_some(now);
        let announced = self.departures.get(&target.incarnation).copied();
        let member = Member {
            target: target.clone(),
            first_seen: now,
            draining_since: earliest(listed_draining_since, announced),
            listed_draining_since,
            drain_age_unknown: false,
            missing_since: None,
            warm_at,
        };
        self.addresses.insert(target.address, target.incarnation.id.clone());
        self.members.insert(target.incarnation.id.clone(), member);
        Some(Change::Joined(target))
    }

    /// Returns the incarnation that was most recently removed under the same id, unless it is the
    /// given one.
    pub fn previous_incarnation(&self, incarnation: &Incarnation) -> Option<Incarnation> {
        let former =
            self.former.values().filter(|former| former.target.incarnation.id == incarnation.id);
        let latest = former.max_by_key(|former| former.removed_at)?;
        (latest.target.incarnation != *incarnation).then(|| latest.target.incarnation.clone())
    }

    /// Returns the incarnations of a service that are listed or were until recently.
    pub fn recent_incarnations(&self, service: &str) -> Vec<Incarnation> {
        let listed = self.members.values().map(|member| &member.target);
        let former = self.former.values().map(|former| &former.target);
        let of_service = listed.chain(former).filter(|target| *target.service == *service);
        of_service.map(|target| target.incarnation.clone()).collect()
    }

    /// Returns the latest entry of an incarnation, which may no longer be listed.
    pub fn last_entry(&self, incarnation: &Incarnation) -> Option<&Arc<Target>> {
        let listed = self.members.get(&incarnation.id).map(|member| &member.target);
        let former = || self.former.get(incarnation).map(|former| &former.target);
        listed.filter(|target| target.incarnation == *incarnation).or_else(former)
    }

    /// Returns the target that is listed at an address.
    pub fn listed_at(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(self.addresses.get(&address)?)
    }

    /// Returns the address to which grants for an incarnation may be sent. If it is no longer listed
    /// and another target is listed there, that one might accept them, and there is none.
    pub fn grant_address(&self, incarnation: &Incarnation) -> Option<SocketAddr> {
        let listed = self.members.get(&incarnation.id).map(|member| &member.target);
        if let Some(target) = listed.filter(|target| target.incarnation == *incarnation) {
            return Some(target.address);
        }
        let address = self.former.get(incarnation)?.target.address;
        self.listed_at(address).is_none().then_some(address)
    }

    /// Returns the addresses at which an incarnation may answer for its keys: its own, and the one of
    /// another incarnation that is listed under its id elsewhere. Targets that are listed at its own
    /// address do not matter, since their entries may come from another writer.
    pub fn addresses(&self, incarnation: &Incarnation) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let own = self.last_entry(incarnation).map(|target| target.address);
        let listed = self.members.get(&incarnation.id).map(|member| &member.target);
        let other = listed.filter(|target| target.incarnation != *incarnation);
        (own, other.map(|target| target.address).filter(|address| Some(*address) != own))
    }

    fn unlist(&mut self, target: &Arc<Target>, now: Stamp) {
        if self.addresses.get(&target.address) == Some(&target.incarnation.id) {
            self.addresses.remove(&target.address);
        }
        let former = Former { target: target.clone(), removed_at: now };
        self.former.insert(target.incarnation.clone(), former);
        self.former.retain(|_, former| now.since(former.removed_at) < FORMER_RETENTION);
    }

    /// Moves the start of a target's drain back to when another instance first saw it. The drain
    /// time counts from then, not from when this instance learns of it.
    pub fn update_draining_since(&mut self, id: &str, since: Stamp) {
        if let Some(member) = self.members.get_mut(id)
            && member.target.draining
        {
            member.listed_draining_since = earliest(member.listed_draining_since, Some(since));
            member.draining_since = earliest(member.draining_since, Some(since));
            member.drain_age_unknown = false;
        }
    }

    /// Records that a draining target may have been draining for any time.
    pub fn record_unknown_drain_age(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.drain_age_unknown = member.target.draining;
        }
    }

    /// Records the remaining warm-up time that a target stated in a response. Returns whether the
    /// target was taken to be warm and is cold.
    pub fn record_warmup(&mut self, id: &str, left: Duration, now: Stamp) -> bool {
        let Some(member) = self.members.get_mut(id) else { return false };
        let was_warm = member.warm_at <= now;
        member.warm_at = now + left;
        was_warm && !left.is_zero()
    }

    /// Records that an incarnation announced its departure in a response at the time `at`. Returns
    /// the change if the target was not known to be draining.
    pub fn record_departure(
        &mut self,
        incarnation: &Incarnation,
        at: Stamp,
        now: Stamp,
    ) -> Option<Change> {
        self.departures.retain(|_, at| now.since(*at) < DEPARTURE_RETENTION);
        let announced = self.departures.entry(incarnation.clone()).or_insert(at);
        *announced = at.min(*announced);
        let announced = *announced;
        let member = self.members.get_mut(&incarnation.id)?;
        if member.target.incarnation != *incarnation {
            return None;
        }
        let known_before = member.draining_since.is_some();
        member.draining_since = earliest(member.draining_since, Some(announced));
        (!known_before).then(|| Change::Draining(member.target.clone()))
    }

    /// Returns the recently announced departures with their times, to be passed on to other
    /// instances.
    pub fn recent_departures(&self, now: Stamp) -> impl Iterator<Item = (&Incarnation, Stamp)> {
        let recent = move |(_, at): &(&Incarnation, &Stamp)| now.since(**at) < DEPARTURE_NEWS_AGE;
        self.departures.iter().filter(recent).map(|(incarnation, at)| (incarnation, *at))
    }

    /// Records that an entry was removed.
    pub fn remove(&mut self, id: &str, now: Stamp) -> Option<Change> {
        self.unlisted.remove(id);
        let target = self.members.remove(id)?.target;
        self.unlist(&target, now);
        Some(Change::Gone(target))
    }

    /// Removes the targets that are not on a complete list of ids. After an outage of the store
    /// they are kept for [`REREGISTRATION_GRACE`].
    pub fn reconcile(
        &mut self,
        listed: &dyn Fn(&str) -> bool,
        outage: bool,
        now: Stamp,
    ) -> Vec<Change> {
        self.unlisted.retain(|id, _| listed(id));
        let mut gone = Vec::new();
        for (id, member) in &mut self.members {
            if listed(id) {
                continue;
            }
            if outage && member.draining_since.is_none() {
                member.missing_since.get_or_insert(now);
            } else {
                gone.push(id.clone());
            }
        }
        gone.iter().filter_map(|id| self.remove(id, now)).collect()
    }

    /// Removes targets whose entries have been missing for longer than [`REREGISTRATION_GRACE`].
    pub fn expire(&mut self, now: Stamp) -> Vec<Change> {
        let expired = |member: &Member| {
            member.missing_since.is_some_and(|since| now.since(since) >= REREGISTRATION_GRACE)
        };
        let gone = self.members.iter().filter(|(_, member)| expired(member));
        let gone: Vec<Arc<str>> = gone.map(|(id, _)| id.clone()).collect();
        let members = &self.members;
        self.revisions
            .retain(|id, (_, at)| members.contains_key(id) || now.since(*at) < FORMER_RETENTION);
        gone.iter().filter_map(|id| self.remove(id, now)).collect()
    }
}
