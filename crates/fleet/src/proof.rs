//! Proof that a target no longer holds keys.
//!
//! Keys are granted to a new owner only with a proof for each incarnation that may still hold them.
//! A proof comes from the process at the incarnation's own address, or from the clock. Everything
//! else is a reason to move keys or to ask for their release, but proves nothing, because the
//! target may run and hold its keys all the same:
//!
//! - entries in the store, and their removal: they lag behind, and another writer may leave one with
//!   any id and address;
//! - a newer incarnation under the same id, which is known from such an entry only;
//! - an announced departure, a configuration, an evacuation;
//! - silence, a connection that breaks or is refused, and any other answer.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::coordinator::Call;
use crate::coordinator::Reply;
use crate::coordinator::Request;
use crate::membership::Incarnation;
use crate::membership::Registry;

/// Proof that an incarnation of a target no longer holds keys.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Proof {
    /// Every grant that was ever sent to the incarnation has expired, on the slowest clock. Grants
    /// of earlier coordinators are known from their announcements, or count with the longest time.
    Expired,
    /// The process at its address has confirmed the release of the keys. If that is a later
    /// incarnation, it has given up the keys of grants that were meant for the earlier one. A
    /// later incarnation at another address has to state its id as well.
    Released,
    /// The process at its address is a target of another service, according to its own answer.
    Replaced,
}

impl Proof {
    /// Returns what the reply to a call proves about the incarnation that was called.
    pub fn of_reply(call: &Call, reply: &Reply) -> Option<Self> {
        match (&call.request, reply) {
            (Request::Release, Reply::Done { .. }) => Some(Self::Released),
            (Request::Release, Reply::Replaced) => Some(Self::Replaced),
            (Request::Grant { .. }, Reply::Done { .. } | Reply::Replaced)
            | (_, Reply::Fenced | Reply::Unknown | Reply::Unsent | Reply::ConnectionGone) => None,
        }
    }

    /// Returns whether the incarnation holds no keys at all. Otherwise the proof is limited to the
    /// keys of the call.
    pub fn covers_all_keys(self) -> bool {
        match self {
            Self::Expired | Self::Replaced => true,
            Self::Released => false,
        }
    }

    /// Returns the proof as text for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Expired => "its grants have expired",
            Self::Released => "it released the keys",
            Self::Replaced => "another service answers at its address",
        }
    }
}

/// A process that can show that an incarnation has ended, by stating its own id. Where it is asked
/// follows from an entry, which is no proof; its answer is one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Witness {
    /// Id that the process has to state.
    pub id: Arc<str>,
    /// Service to which it belongs.
    pub service: Arc<str>,
    /// Address at which it is asked.
    pub address: SocketAddr,
}

impl Witness {
    /// Returns the target of another service that is listed at the address of an incarnation. A
    /// target of the same service is none: it may have accepted a grant that was meant for the
    /// incarnation, and has to release the keys itself.
    pub fn at_own_address(registry: &Registry, incarnation: &Incarnation) -> Option<Self> {
        let former = registry.last_entry(incarnation)?;
        let listed = &registry.listed_at(former.address)?.target;
        let other = listed.incarnation.id != incarnation.id && listed.service != former.service;
        let (id, service) = (listed.incarnation.id.clone(), listed.service.clone());
        other.then_some(Self { id, service, address: listed.address })
    }

    /// Returns the later incarnation that is listed at another address, for a service. What it
    /// confirms counts for the earlier one, since a target starts again only after it has ended.
    pub fn elsewhere(incarnation: &Incarnation, service: &Arc<str>, address: SocketAddr) -> Self {
        Self { id: incarnation.id.clone(), service: service.clone(), address }
    }

    /// Returns whether the id that the process states in an answer is the right one.
    pub fn is_confirmed_by(&self, stated: Option<&str>) -> bool {
        stated == Some(&*self.id)
    }
}
