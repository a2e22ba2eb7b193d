//! Targets as the platform's registry lists them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Time for which an entry that is missing after an outage of the store is still used: a target
/// that lives registers again within two seconds of the store's return.
pub const RETURN_TIME: Duration = Duration::from_millis(2200);

/// A life of a target: a target may start again under the id that it had.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Life {
    /// Id of the target.
    pub id: Arc<str>,
    /// Start of this life in milliseconds since 1970, on the target's clock.
    pub born: u64,
}

/// A target.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Target {
    /// Which life of which target.
    pub life: Life,
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
    pub cold: Duration,
}

/// A listed target and when this process learned about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The target.
    pub target: Arc<Target>,
    /// When this life was first seen.
    pub since: Stamp,
    /// When it was first seen to be leaving.
    pub leaving: Option<Stamp>,
    /// Set while the entry is missing from a list that followed an outage of the store.
    pub missing: Option<Stamp>,
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

/// The targets that are listed.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    members: HashMap<Arc<str>, Member>,
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
        let warm_at = now + target.cold;
        if let Some(member) = self.members.get_mut(&target.life.id)
            && member.target.life == target.life
        {
            member.missing = None;
            member.warm_at = warm_at;
            let started = target.draining && !member.target.draining;
            member.target = target.clone();
            if !target.draining {
                member.leaving = None;
            }
            if started {
                member.leaving = Some(now);
                return Some(Change::Draining(target));
            }
            return None;
        }
        let leaving = target.draining.then_some(now);
        let member = Member { target: target.clone(), since: now, leaving, missing: None, warm_at };
        self.members.insert(target.life.id.clone(), member);
        Some(Change::Joined(target))
    }

    /// Records since when another instance has known that a target is leaving: its notice runs from
    /// then, not from when this instance learns of it.
    pub fn leaving_since(&mut self, id: &str, since: Stamp) {
        if let Some(member) = self.members.get_mut(id)
            && let Some(leaving) = &mut member.leaving
        {
            *leaving = since.min(*leaving);
        }
    }

    /// Records that an entry was removed.
    pub fn remove(&mut self, id: &str) -> Option<Change> {
        self.members.remove(id).map(|member| Change::Gone(member.target))
    }

    /// Compares with a complete list of ids. After an outage, missing entries stay for
    /// [`RETURN_TIME`]; else they are removed.
    pub fn retain(
        &mut self,
        listed: &dyn Fn(&str) -> bool,
        outage: bool,
        now: Stamp,
    ) -> Vec<Change> {
        let mut gone = Vec::new();
        self.members.retain(|id, member| {
            if listed(id) {
                return true;
            }
            if outage && member.leaving.is_none() {
                member.missing.get_or_insert(now);
                return true;
            }
            gone.push(Change::Gone(member.target.clone()));
            false
        });
        gone
    }

    /// Removes entries that have been missing for too long.
    pub fn expire(&mut self, now: Stamp) -> Vec<Change> {
        let mut gone = Vec::new();
        self.members.retain(|_, member| {
            let keep = member.missing.is_none_or(|since| now.since(since) < RETURN_TIME);
            if !keep {
                gone.push(Change::Gone(member.target.clone()));
            }
            keep
        });
        gone
    }
}
