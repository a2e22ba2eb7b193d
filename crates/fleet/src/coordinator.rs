//! Grants of keys by the coordinator: which target may serve which keys, and until when.
//!
//! The coordinator writes every change of ownership to the store before it acts on it. A new owner
//! is granted keys only with a [proof](crate::proof) for each earlier owner that it no longer holds
//! them. A grant never outlives the
//! latest confirmation of the leadership by more than [`Options::grant_horizon`]. A successor that
//! waits this long after its takeover therefore cannot conflict with a grant that it has no record
//! of. Grants of the new term do not shorten this wait, even if they are confirmed: a target holds
//! its keys until the latest expiry of all grants that it accepted, under any token.

mod call;
mod limits;
mod recovery;
mod release;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

pub use crate::coordinator::call::Call;
pub use crate::coordinator::call::Reply;
pub use crate::coordinator::call::Request;
pub use crate::coordinator::limits::Class;
use crate::coordinator::limits::InFlight;
pub use crate::coordinator::limits::MAX_GRANTS_IN_FLIGHT;
pub use crate::coordinator::limits::MAX_RELEASES_IN_FLIGHT;
use crate::coordinator::recovery::Floors;
use crate::coordinator::recovery::Recovery;
pub use crate::coordinator::recovery::Takeover;
use crate::holds::Holds;
use crate::membership::Incarnation;
use crate::membership::Registry;
use crate::ownership::Holding;
use crate::ownership::Move;
use crate::ownership::Table;
use crate::proof::Proof;

/// Time limits of grants.
#[derive(Clone, Debug)]
pub struct Options {
    /// Length of a grant while the store confirms the leadership.
    pub grant_duration: Duration,
    /// Longest grant that targets accept, used while the leadership is not confirmed.
    pub max_grant_duration: Duration,
    /// Interval between renewals of a grant.
    pub renewal_interval: Duration,
    /// Longest time from a confirmation of the leadership to the expiry of a grant that relies on
    /// it.
    pub grant_horizon: Duration,
}

/// Age of the latest confirmation of the leadership beyond which grants get the maximum length. Two
/// renewals of the leadership have failed by then.
const CONFIRMATION_STALE_AFTER: Duration = Duration::from_millis(1500);

/// Time to live of the coordinator's lease in the store. It survives two failed renewals.
pub const LEASE_TTL: Duration = Duration::from_millis(1400);

/// Highest age of the latest confirmation of the leadership at which a new fencing token is sent.
/// Within this age, plus the time until the call is sent, no other instance can have taken the
/// leadership. A target that restarted after a takeover would not know that a successor has moved
/// the keys.
const NEW_FENCE_CONFIRMATION_AGE: Duration = Duration::from_millis(800);

/// Timeout of a call to a target.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Time within which a call must be sent after [`Coordinator::due_calls`] has returned it. It is
/// shorter than [`CALL_TIMEOUT`], from which the lengths of grants are computed.
pub const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between attempts to grant keys. Several attempts fit into the remainder of a grant
/// after a lost renewal.
const GRANT_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between attempts to release keys from an earlier owner.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a response to a grant after which a target's keys are reassigned.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1200);

impl Options {
    /// Derives the limits from the longest grant that targets accept.
    pub fn new(max_grant_duration: Duration) -> Self {
        let grant_duration = Duration::from_secs(3).min(max_grant_duration);
        Self {
            grant_duration,
            max_grant_duration,
            renewal_interval: grant_duration / 3,
            grant_horizon: worst_case_duration(max_grant_duration) + Duration::from_secs(3),
        }
    }
}

/// Returns the longest time that a grant can last on a clock that runs up to 2% slow, with a margin
/// of 1% for the local clock and 50 ms for network latency.
fn worst_case_duration(duration: Duration) -> Duration {
    duration.mul_f64(1.03) + Duration::from_millis(50)
}

#[derive(Clone, Debug, Default)]
struct Status {
    /// Whether a call is in flight.
    in_flight: bool,
    /// When the latest call was sent.
    last_sent: Option<Stamp>,
    /// Connection on which the token was first sent.
    connection: Option<u64>,
    /// Whether that connection is gone, so that the keys need a new token.
    connection_gone: bool,
    /// Whether the owner has confirmed the grant.
    granted: bool,
    /// Whether the latest call failed.
    last_failed: bool,
    /// Whether the owner is presumed to serve the keys because it did so under an earlier token.
    assumed: bool,
    /// State that the previous owner handed over.
    handover: Option<Arc<str>>,
}

#[derive(Clone, Debug, Default)]
struct Recipient {
    /// Number of grant calls in flight.
    calls_in_flight: u32,
    /// Longest duration of the grants sent since no call was in flight.
    longest_in_flight: Duration,
    /// Time of the first call in a row to which the target did not respond.
    unanswered_since: Option<Stamp>,
}

#[derive(Clone, Debug, Default)]
struct Service {
    table: Table,
    /// Status of grants by first key, last key and token.
    grants: HashMap<(u16, u16, u64), Status>,
    /// Status of releases by first key, last key, token and earlier owner.
    releases: HashMap<(u16, u16, u64, Incarnation), Status>,
}

/// State of the coordinator during one term.
#[derive(Clone, Debug)]
pub struct Coordinator {
    options: Options,
    /// When the latest successful confirmation of the leadership was sent.
    confirmed_at: Stamp,
    services: BTreeMap<Arc<str>, Service>,
    recipients: HashMap<Incarnation, Recipient>,
    /// Until when incarnations may hold keys under grants of this and earlier coordinators.
    holds: Holds,
    /// Highest token of each service at the takeover.
    takeover_fences: BTreeMap<Arc<str>, u64>,
    /// Tokens above which those of this term start.
    floors: Floors,
    /// Releases of unknown grants, while targets may hold keys under some.
    recovery: Option<Recovery>,
    /// Calls in flight.
    in_flight: InFlight,
    /// Earlier owners that were removed and have not been logged yet.
    clearances: BTreeSet<(Arc<str>, Incarnation, Proof)>,
}

/// A holding and whether its owner serves the keys.
pub type Served = (Holding, bool);

/// Ownership tables of all services, as stored.
pub type Tables = BTreeMap<Arc<str>, Table>;

impl Coordinator {
    /// Starts a term with the stored tables. `confirmed_at` is when the call that took the
    /// leadership was sent, `now` is when its success became known.
    pub fn new(options: Options, tables: Tables, confirmed_at: Stamp, now: Stamp) -> Self {
        let holdings = tables.values().flat_map(|table| &table.holdings);
        let incarnations = holdings
            .flat_map(|holding| std::iter::once(&holding.owner).chain(&holding.earlier).cloned());
        let holds = Holds::inherited(incarnations, now + options.grant_horizon);
        let takeover_fences =
            tables.iter().map(|(service, table)| (service.clone(), table.fence)).collect();
        let state = |table: Table| {
            // A holding that waits for an earlier owner has not been granted yet.
            let settled = table.holdings.iter().filter(|holding| holding.earlier.is_empty());
            let status =
                |holding: &Holding| (holding.id(), Status { assumed: true, ..Status::default() });
            let grants = settled.map(status).collect();
            Service { table, grants, ..Service::default() }
        };
        let services = tables.into_iter().map(|(service, table)| (service, state(table)));
        let services = services.collect();
        let (recipients, in_flight) = (HashMap::new(), InFlight::default());
        let (floors, recovery) = (Floors::default(), None);
        Self {
            options,
            confirmed_at,
            services,
            recipients,
            holds,
            takeover_fences,
            floors,
            recovery,
            in_flight,
            clearances: BTreeSet::new(),
        }
    }

    /// Returns the tables with the same owners under new tokens, to be written at the start of a
    /// term. Adjacent holdings of one owner are merged.
    pub fn with_renewed_fences(&self) -> Tables {
        let mut tables = self.tables();
        for (service, table) in &mut tables {
            table.fence = table.fence.max(self.floors.of(service));
            table.renew_fences();
        }
        tables
    }

    /// Records a successful confirmation of the leadership that was sent at `sent_at`.
    pub fn confirm_leadership(&mut self, sent_at: Stamp) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Returns whether the store has confirmed the leadership recently. Ownership should only
    /// change while it has.
    pub fn is_recently_confirmed(&self, now: Stamp) -> bool {
        now.since(self.confirmed_at) < CONFIRMATION_STALE_AFTER
    }

    /// Returns the tables with the moves applied, to be written to the store.
    pub fn propose(&self, moves: &[(Arc<str>, Move)]) -> Tables {
        let mut tables = self.tables();
        for (service, key_move) in moves {
            let table = tables.entry(service.clone()).or_default();
            table.fence = table.fence.max(self.floors.of(service));
            table.apply(key_move);
        }
        for table in tables.values_mut() {
            table.merge_adjacent();
        }
        tables
    }

    /// Adopts tables that were written to the store.
    pub fn adopt(&mut self, tables: Tables) {
        for (service, table) in tables {
            let state = self.services.entry(service).or_default();
            let old = std::mem::take(&mut state.grants);
            let before = std::mem::take(&mut state.table);
            // An owner that gets a new token continues to serve the keys until the token arrives.
            let continues = |holding: &Holding| {
                let held = |part: &Holding| {
                    let status = old.get(&part.id());
                    part.owner == holding.owner
                        && status.is_some_and(|status| status.granted || status.assumed)
                };
                let mut count = 0_u32;
                let parts = before.overlapping(holding.first, holding.last);
                let all = parts.iter().inspect(|part| count += part.len()).all(held);
                all && count >= holding.len()
            };
            let mut by_fence: HashMap<u64, Vec<(u16, u16)>> = HashMap::new();
            for (first, last, fence) in old.keys() {
                by_fence.entry(*fence).or_default().push((*first, *last));
            }
            for holding in &table.holdings {
                let id = holding.id();
                // A holding that was split off keeps the status of the original holding.
                let ranges = by_fence.get(&holding.fence);
                let original = ranges.and_then(|ranges| {
                    let holds =
                        |range: &&(u16, u16)| range.0 <= holding.first && holding.last <= range.1;
                    let (first, last) = *ranges.iter().find(holds)?;
                    old.get(&(first, last, holding.fence)).map(|status| ((first, last), status))
                });
                // The reply to a call in flight for the original holding cannot be matched to its
                // parts, so the connection of their token stays unknown.
                let split_status = |status: &Status| {
                    let lost = status.in_flight && status.connection.is_none();
                    Status {
                        in_flight: false,
                        connection_gone: status.connection_gone || lost,
                        ..status.clone()
                    }
                };
                let status = original.map(|(keys, status)| {
                    if keys == (holding.first, holding.last) {
                        status.clone()
                    } else {
                        split_status(status)
                    }
                });
                let new = || Status { assumed: continues(holding), ..Status::default() };
                state.grants.insert(id, status.unwrap_or_else(new));
            }
            state.table = table;
        }
    }

    /// Returns the tables as last known to be stored, without the earlier owners that have been
    /// removed since.
    pub fn tables(&self) -> Tables {
        let table =
            |(service, state): (&Arc<str>, &Service)| (service.clone(), state.table.clone());
        self.services.iter().map(table).collect()
    }

    /// Returns the holdings of each service, each with whether its owner serves the keys.
    pub fn served_holdings(&self) -> Vec<(Arc<str>, Vec<Served>)> {
        let holdings = |state: &Service| {
            let granted = |holding: &Holding| {
                state
                    .grants
                    .get(&holding.id())
                    .is_some_and(|status| status.granted || status.assumed)
            };
            let with_status = |holding: &Holding| (holding.clone(), granted(holding));
            state.table.holdings.iter().map(with_status).collect()
        };
        self.services.iter().map(|(service, state)| (service.clone(), holdings(state))).collect()
    }

    /// Returns whether a target has not responded to grants for [`UNRESPONSIVE_AFTER`].
    pub fn is_unresponsive(&self, incarnation: &Incarnation, now: Stamp) -> bool {
        let since =
            self.recipients.get(incarnation).and_then(|recipient| recipient.unanswered_since);
        since.is_some_and(|since| now.since(since) >= UNRESPONSIVE_AFTER)
    }

    /// Returns whether an incarnation can no longer hold keys under grants of this or earlier
    /// terms.
    ///
    /// A newer incarnation of the target is no proof: it may have accepted grants that were meant
    /// for the old one before it was listed. A release that the newer incarnation confirms covers
    /// both.
    fn grants_expired(&self, incarnation: &Incarnation, now: Stamp) -> bool {
        let in_flight = self.recipients.get(incarnation).is_some_and(|r| r.calls_in_flight > 0);
        !in_flight && !self.holds.may_hold(incarnation, now)
    }

    /// Returns the length of a grant that is sent now, or `None` if the latest confirmation of the
    /// leadership is too old.
    fn next_grant_duration(&self, now: Stamp) -> Option<Duration> {
        let wanted = if self.is_recently_confirmed(now) {
            self.options.grant_duration
        } else {
            self.options.max_grant_duration
        };
        let left = (self.confirmed_at + self.options.grant_horizon).since(now + CALL_TIMEOUT);
        let limit = left.saturating_sub(Duration::from_millis(50)).div_f64(1.03);
        let duration = wanted.min(limit);
        (duration >= Duration::from_millis(300)).then_some(duration)
    }

    /// Returns the calls that are due. The outcome of each must be passed to
    /// [`Coordinator::record_reply`].
    pub fn due_calls(&mut self, registry: &Registry, now: Stamp) -> Vec<Call> {
        if self.recovery.is_some() {
            return self.due_recovery_calls(registry, now);
        }
        self.holds.remove_expired(now);
        let mut due = Vec::new();
        let services: Vec<Arc<str>> = self.services.keys().cloned().collect();
        for service in services {
            let holdings = match self.services.get(&service) {
                Some(state) => state.table.holdings.clone(),
                None => continue,
            };
            for holding in holdings {
                self.due_calls_of(&service, &holding, registry, now, &mut due);
            }
        }
        // Within a class, the call that has waited longest goes first.
        due.sort_by_key(|(last_sent, call)| (call.class, *last_sent));
        let due = due.into_iter().map(|(_, call)| call);
        due.filter(|call| self.in_flight.admits(call.class) && self.start(call, now)).collect()
    }

    /// Records that a call is sent. Returns false if its holding is not known.
    fn start(&mut self, call: &Call, now: Stamp) -> bool {
        let Some(state) = self.services.get_mut(&call.service) else { return false };
        let status = if let Request::Grant { duration, .. } = &call.request {
            let recipient = self.recipients.entry(call.incarnation.clone()).or_default();
            recipient.calls_in_flight += 1;
            recipient.longest_in_flight = recipient.longest_in_flight.max(*duration);
            state.grants.entry((call.first, call.last, call.fence)).or_default()
        } else {
            let fence = call.fence + 1;
            let id = (call.first, call.last, fence, call.incarnation.clone());
            state.releases.entry(id).or_default()
        };
        (status.in_flight, status.last_sent) = (true, Some(now));
        self.in_flight.add(call.class);
        true
    }

    fn due_calls_of(
        &mut self,
        service: &Arc<str>,
        holding: &Holding,
        registry: &Registry,
        now: Stamp,
        due: &mut Vec<(Option<Stamp>, Call)>,
    ) {
        let (first, last, fence) = holding.id();
        let mut waiting = false;
        for incarnation in &holding.earlier {
            if self.grants_expired(incarnation, now) {
                self.clear_earlier(service, holding.id(), incarnation, Proof::Expired);
                continue;
            }
            waiting = true;
            let silent = self.is_unresponsive(incarnation, now);
            let Some(state) = self.services.get_mut(service) else { return };
            let status =
                state.releases.entry((first, last, fence, incarnation.clone())).or_default();
            let recent = status
                .last_sent
                .is_some_and(|last_sent| now.since(last_sent) < RELEASE_RETRY_INTERVAL);
            if status.in_flight || recent {
                continue;
            }
            let call = Call {
                service: service.clone(),
                incarnation: incarnation.clone(),
                first,
                last,
                fence: holding.release_fence(),
                request: Request::Release,
                connection: None,
                class: if silent { Class::SilentRelease } else { Class::Release },
            };
            due.push((status.last_sent, call));
        }
        let known = registry.get(&holding.owner.id);
        let replaced = known.is_some_and(|member| member.target.incarnation != holding.owner);
        let Some(duration) = self.next_grant_duration(now) else { return };
        // The connections on which an earlier coordinator sent its tokens are unknown.
        let inherited = self.takeover_fences.get(service).is_some_and(|highest| fence <= *highest);
        if waiting || replaced || inherited {
            return;
        }
        let renewal = self.options.renewal_interval;
        let confirmation_age = now.since(self.confirmed_at);
        let Some(state) = self.services.get_mut(service) else { return };
        let status = state.grants.entry((first, last, fence)).or_default();
        let confirmed = status.granted && !status.last_failed;
        let interval = if confirmed { renewal } else { GRANT_RETRY_INTERVAL };
        let recent = status.last_sent.is_some_and(|last_sent| now.since(last_sent) < interval);
        let unconfirmed =
            status.connection.is_none() && confirmation_age > NEW_FENCE_CONFIRMATION_AGE;
        if status.in_flight || status.connection_gone || recent || unconfirmed {
            return;
        }
        let (handover, connection) = (status.handover.clone(), status.connection);
        let call = Call {
            service: service.clone(),
            incarnation: holding.owner.clone(),
            first,
            last,
            fence,
            request: Request::Grant { duration, handover },
            connection,
            class: if confirmed { Class::Renewal } else { Class::Grant },
        };
        due.push((status.last_sent, call));
    }

    /// Returns the connections that carry tokens in use.
    pub fn grant_connections(&self) -> HashSet<u64> {
        let statuses = self.services.values().flat_map(|state| state.grants.values());
        statuses.filter_map(|status| status.connection).collect()
    }

    /// Returns moves that reassign keys to their current owner under a new token because the
    /// connection of the token is gone.
    pub fn fence_reissues(&self) -> Vec<(Arc<str>, Move)> {
        let mut moves = Vec::new();
        for (service, state) in &self.services {
            for holding in &state.table.holdings {
                if state.grants.get(&holding.id()).is_some_and(|status| status.connection_gone) {
                    let (first, last, to) = (holding.first, holding.last, holding.owner.clone());
                    moves.push((service.clone(), Move { first, last, to }));
                }
            }
        }
        moves
    }

    /// Records the outcome of a call and the connection on which it was sent. Returns true if a
    /// target became the confirmed owner of keys.
    pub fn record_reply(
        &mut self,
        call: &Call,
        reply: &Reply,
        connection: Option<u64>,
        now: Stamp,
    ) -> bool {
        self.in_flight.remove(call.class);
        match &call.request {
            Request::Grant { duration, .. } => {
                self.record_grant_reply(call, *duration, reply, connection, now)
            }
            Request::Release => {
                let recovers = self.recovery.as_mut().is_some_and(|r| r.record_reply(call, reply));
                if !recovers {
                    self.record_release_reply(call, reply);
                }
                false
            }
        }
    }

    fn record_grant_reply(
        &mut self,
        call: &Call,
        duration: Duration,
        reply: &Reply,
        connection: Option<u64>,
        now: Stamp,
    ) -> bool {
        let recipient = self.recipients.entry(call.incarnation.clone()).or_default();
        recipient.calls_in_flight = recipient.calls_in_flight.saturating_sub(1);
        if recipient.calls_in_flight == 0 {
            recipient.longest_in_flight = Duration::ZERO;
        }
        match reply {
            Reply::Done { .. } | Reply::Unknown | Reply::Replaced => {
                self.holds.raise(&call.incarnation, now + worst_case_duration(duration));
            }
            Reply::Fenced | Reply::Unsent | Reply::ConnectionGone => {}
        }
        match reply {
            Reply::ConnectionGone => {}
            Reply::Done { .. } | Reply::Fenced => recipient.unanswered_since = None,
            Reply::Unknown | Reply::Unsent | Reply::Replaced => {
                recipient.unanswered_since.get_or_insert(now);
            }
        }
        let Some(state) = self.services.get_mut(&call.service) else { return false };
        let Some(status) = state.grants.get_mut(&(call.first, call.last, call.fence)) else {
            return false;
        };
        status.in_flight = false;
        let done = matches!(reply, Reply::Done { .. });
        let newly_granted = done && !status.granted;
        status.connection = status.connection.or(connection);
        status.connection_gone = matches!(reply, Reply::ConnectionGone);
        // The target keeps serving the keys until its grant expires or the new token arrives.
        if !status.connection_gone {
            status.assumed = false;
        }
        status.last_failed = !done;
        if done {
            status.granted = true;
            status.handover = None;
        }
        newly_granted
    }
}
