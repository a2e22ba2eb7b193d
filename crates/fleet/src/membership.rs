//! Targets as the platform's registry lists them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Time for which an entry that is missing after an outage of the store is still used: a target
/// that lives registers again within two seconds of the store's return.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);

/// A life of a target: a target may start again under the id that it had.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Incarnation {
    /// Id of the target.
    pub id: Arc<str>,
    /// Start of this life in milliseconds since 1970, on the target's clock.
    pub born: u64,
}

/// A target.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Target {
    /// Which life of which target.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Time for which it is still slow after its start.
    #[serde(rename = "cold")]
    pub warmup: Duration,
}

/// A listed target and when this process learned about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The target.
    pub target: Arc<Target>,
    /// When this life was first seen.
    pub first_seen: Stamp,
    /// When it was first seen to be leaving.
    pub draining_since: Option<Stamp>,
    /// Set while the entry is missing from a list that followed an outage of the store.
    pub missing_since: Option<Stamp>,
    /// End of its slow time after the start.
    pub warm_at: Stamp,
}

/// What a change of the registry means.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A target, or a new life of one, joined.
    Joined(Arc<Target>),
    /// A target is leaving.
    Draining(Arc<Target>),
    /// A target is no longer listed.
    Gone(Arc<Target>),
}

/// Time for which a target that is no longer listed is remembered: longer than any grant lasts.
const REMEMBERED: Duration = Duration::from_secs(60);

/// A target that is no longer listed.
#[derive(Clone, Debug)]
struct Former {
    target: Arc<Target>,
    since: Stamp,
}

/// The targets that are listed, and those that were a moment ago.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    members: HashMap<Arc<str>, Member>,
    former: HashMap<Incarnation, Former>,
    /// Ids of listed targets by address.
    addresses: HashMap<SocketAddr, Arc<str>>,
}

impl Registry {
    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the member with an id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Records an entry.
    pub fn put(&mut self, target: Target, now: Stamp) -> Option<Change> {
        let target = Arc::new(target);
        let warm_at = now + target.warmup;
        if let Some(member) = self.members.get_mut(&target.incarnation.id)
            && member.target.incarnation == target.incarnation
        {
            member.missing_since = None;
            member.warm_at = warm_at;
            let started = target.draining && !member.target.draining;
            member.target = target.clone();
            if !target.draining {
                member.draining_since = None;
            }
            if started {
                member.draining_since = Some(now);
                return Some(Change::Draining(target));
            }
            return None;
        }
        if let Some(former) = self.members.remove(&target.incarnation.id) {
            self.forget(&former.target, now);
        }
        let leaving = target.draining.then_some(now);
        let member = Member {
            target: target.clone(),
            first_seen: now,
            draining_since: leaving,
            missing_since: None,
            warm_at,
        };
        self.addresses.insert(target.address, target.incarnation.id.clone());
        self.members.insert(target.incarnation.id.clone(), member);
        Some(Change::Joined(target))
    }

    /// Returns the latest life that was listed under the id of another one.
    pub fn previous_incarnation(&self, life: &Incarnation) -> Option<Incarnation> {
        let former = self.former.values().filter(|former| former.target.incarnation.id == life.id);
        let latest = former.max_by_key(|former| former.since)?;
        (latest.target.incarnation != *life).then(|| latest.target.incarnation.clone())
    }

    /// Returns the address of a target that was listed, unless another target has it now.
    pub fn last_address(&self, life: &Incarnation) -> Option<SocketAddr> {
        let address = self.former.get(life)?.target.address;
        (!self.addresses.contains_key(&address)).then_some(address)
    }

    /// Returns whether a target is proved to have ended: another service has its address. A target of
    /// its own service proves less, since it may have taken a grant that was meant for the former one.
    pub fn is_known_ended(&self, life: &Incarnation) -> bool {
        let Some(former) = self.former.get(life) else { return false };
        let other = self.addresses.get(&former.target.address);
        let other = other.and_then(|id| self.members.get(id));
        other.is_some_and(|other| {
            other.target.service != former.target.service
                && other.target.incarnation.born > life.born
        })
    }

    fn forget(&mut self, target: &Arc<Target>, now: Stamp) {
        if self.addresses.get(&target.address) == Some(&target.incarnation.id) {
            self.addresses.remove(&target.address);
        }
        let former = Former { target: target.clone(), since: now };
        self.former.insert(target.incarnation.clone(), former);
        self.former.retain(|_, former| now.since(former.since) < REMEMBERED);
    }

    /// Records since when another instance has known that a target is leaving: its notice runs from
    /// then, not from when this instance learns of it.
    pub fn update_draining_since(&mut self, id: &str, since: Stamp) {
        if let Some(member) = self.members.get_mut(id)
            && let Some(leaving) = &mut member.draining_since
        {
            *leaving = since.min(*leaving);
        }
    }

    /// Records that an entry was removed.
    pub fn remove(&mut self, id: &str, now: Stamp) -> Option<Change> {
        let target = self.members.remove(id)?.target;
        self.forget(&target, now);
        Some(Change::Gone(target))
    }

    /// Compares with a complete list of ids. After an outage, missing entries stay for
    /// [`REREGISTRATION_GRACE`]; else they are removed.
    pub fn reconcile(
        &mut self,
        listed: &dyn Fn(&str) -> bool,
        outage: bool,
        now: Stamp,
    ) -> Vec<Change> {
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

    /// Removes entries that have been missing for too long.
    pub fn expire(&mut self, now: Stamp) -> Vec<Change> {
        let expired = |member: &Member| {
            member.missing_since.is_some_and(|since| now.since(since) >= REREGISTRATION_GRACE)
        };
        let gone = self.members.iter().filter(|(_, member)| expired(member));
        let gone: Vec<Arc<str>> = gone.map(|(id, _)| id.clone()).collect();
        gone.iter().filter_map(|id| self.remove(id, now)).collect()
    }
}
