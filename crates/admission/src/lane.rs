//! The lane of one group: the only way from the data path to the group's targets.
//!
//! The control plane assigns shards and sets how long a target may be sent requests. The data path
//! acquires permits. Both share the lane through an `Arc`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

/// Settings of a lane.
#[derive(Clone, Debug)]
pub struct Options {
    /// Group of the lane.
    pub group: name::Group,
    /// True if any target may run any request.
    pub pooled: bool,
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Requests that may wait, for each target.
    pub queue: usize,
    /// Time over which a cold target ramps up.
    pub warmup: Duration,
}

/// What a request asks of the lane.
#[derive(Clone, Debug)]
pub struct Request {
    /// Shard of the request's key.
    pub shard: Shard,
    /// Key of the request.
    pub key: Arc<str>,
    /// Tenant of the caller.
    pub tenant: name::Tenant,
    /// Urgency of the call class.
    pub urgency: Urgency,
    /// Moment after which the caller no longer waits.
    pub deadline: Stamp,
    /// Target that an earlier attempt failed on; a pooled lane picks another if there is one.
    pub avoid: Option<name::Target>,
}

/// State of a target as the control plane sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Started lately; gets a growing share of its slots.
    Cold,
    /// Gets work.
    Live,
    /// Gets no new work.
    Draining,
    /// Not reachable or gone; gets no new work.
    Lost,
}

/// How an attempt with a permit ended, as far as the lane has to know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finish {
    /// The target answered.
    Answered,
    /// The target refused for lack of capacity.
    Shed,
    /// The attempt failed otherwise.
    Failed,
}

/// Permission to send one request to one target.
#[derive(Debug)]
pub struct Permit {
    /// Target that owns the key, or the selected one of a pooled group.
    pub target: name::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Fencing token for the request.
    pub token: Token,
    /// No byte of the request may be written at or after this moment.
    pub write_before: Stamp,
}

impl Permit {
    /// Returns the slot and tells the lane how the attempt ended. Dropping a permit counts as failed.
    pub fn finish(self, _finish: Finish) {}
}

/// The lane of one group.
#[derive(Debug)]
pub struct Lane {
    options: Options,
}

impl Lane {
    /// Makes a lane without targets.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self { options })
    }

    /// Returns the group of the lane.
    pub fn group(&self) -> &name::Group {
        &self.options.group
    }

    /// Waits until the request may be sent.
    ///
    /// # Errors
    ///
    /// The reason of a refusal: the queue is full, the shard has no owner, no target accepts work,
    /// the deadline passes, or the lane closes. In every case the request did not run.
    pub async fn acquire(self: &Arc<Self>, _request: Request) -> Result<Permit, Reason> {
        Err(Reason::NoOwner)
    }

    /// Adds a target or changes its address or state.
    pub fn set_target(&self, _target: &name::Target, _address: SocketAddr, _state: State) {}

    /// Removes a target. It must own no shard.
    pub fn remove_target(&self, _target: &name::Target) {}

    /// Sets the moment until which requests may be written to a target.
    pub fn allow_until(&self, _target: &name::Target, _until: Stamp) {}

    /// Sets the token for requests to targets of a pooled lane.
    pub fn set_token(&self, _target: &name::Target, _token: Token) {}

    /// Makes a target the owner of a shard; requests for it carry the token. Wakes waiting requests.
    pub fn assign(&self, _shard: Shard, _target: &name::Target, _token: Token) {}

    /// Takes a shard from its owner; its requests wait in the queue from then on.
    pub fn pause(&self, _shard: Shard) {}

    /// Returns how many requests of a shard hold permits, split keys of the shard excluded.
    pub fn in_flight(&self, _shard: Shard) -> usize {
        0
    }

    /// Returns how many requests hold permits for a target.
    pub fn target_in_flight(&self, _target: &name::Target) -> usize {
        0
    }

    /// Gives one key an owner of its own, apart from its shard.
    pub fn split(&self, _key: &str, _target: &name::Target, _token: Token) {}

    /// Holds back the requests of a split key, which wait in the queue from then on.
    pub fn pause_key(&self, _key: &str) {}

    /// Returns how many requests of a split key hold permits.
    pub fn key_in_flight(&self, _key: &str) -> usize {
        0
    }

    /// Ends a split; the key belongs to its shard again.
    pub fn unsplit(&self, _key: &str) {}

    /// Refuses all waiting and later requests with the reason. Requests with permits go on.
    pub fn close(&self, _reason: Reason) {}

    /// Returns the fill of the queue in percent.
    pub fn queue_percent(&self) -> u32 {
        0
    }
}
