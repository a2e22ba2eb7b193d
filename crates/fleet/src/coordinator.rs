//! Grants of the coordinator: who may hold which keys, and until when.
//!
//! The coordinator writes every change of ownership to the store before it acts on it. Keys go to
//! a new owner only when each earlier owner, or a later life of it, has released them, or it can no
//! longer hold them because every grant that was ever sent to it has run out. A grant never ends
//! later than [`Options::grant_horizon`] after the coordinator's leadership was last confirmed, so a
//! successor that waits this long after its takeover cannot meet a hold it does not know of. It
//! need not wait for a target that confirms grants with the tokens of the new term: they replace
//! those of its predecessor.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::membership::Incarnation;
use crate::membership::Registry;
use crate::ownership::Holding;
use crate::ownership::Move;
use crate::ownership::Table;

/// Bounds of grants.
#[derive(Clone, Debug)]
pub struct Options {
    /// Length of a grant while the store confirms the leadership.
    pub grant_duration: Duration,
    /// Length of a grant while it does not: the longest that targets accept.
    pub max_grant_duration: Duration,
    /// Time between renewals of a grant.
    pub renewal_interval: Duration,
    /// Time from a confirmation of the leadership to the end of the last grant that relies on it.
    pub grant_horizon: Duration,
}

/// Age of a confirmation from which grants get their longest length: two renewals of the
/// leadership have failed by then.
const UNCONFIRMED: Duration = Duration::from_millis(1500);

/// Incarnation of the coordinator's lease in the store: two renewals may fail.
pub const LEASE_TTL: Duration = Duration::from_millis(1400);

/// Age of the last confirmation up to which a token is sent for the first time. Within it, and the
/// time until the call is sent, nobody else can have taken the leadership: a successor that has moved
/// the keys on is not known to a target that has started again since.
const FIRST_SENDING: Duration = Duration::from_millis(800);

/// Longest time that a call to a target may take.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Time within which a call must be sent after [`Coordinator::due_calls`] has returned it. It is shorter
/// than [`CALL_TIMEOUT`], with which the lengths of grants are computed.
pub const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two tries to grant keys: several fit into the rest of a hold after a lost renewal.
const GRANT_RETRY: Duration = Duration::from_millis(200);

/// Time between two tries to take keys from an earlier owner.
const RELEASE_RETRY: Duration = Duration::from_millis(400);

/// Time for which a target may fail to answer grants before its keys go to others.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1200);

impl Options {
    /// Derives the bounds from the longest grant that targets accept.
    pub fn new(hold_limit: Duration) -> Self {
        let hold = Duration::from_secs(3).min(hold_limit);
        Self {
            grant_duration: hold,
            max_grant_duration: hold_limit,
            renewal_interval: hold / 3,
            grant_horizon: longest(hold_limit) + Duration::from_secs(3),
        }
    }
}

/// Returns the longest time for which a grant lasts on a clock that runs up to 2% slow, with a
/// margin of a hundredth for the own clock and 50 ms for the way.
fn longest(hold: Duration) -> Duration {
    hold.mul_f64(1.03) + Duration::from_millis(50)
}

/// A call to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Service of the keys.
    pub service: Arc<str>,
    /// Incarnation of the target that is called.
    pub incarnation: Incarnation,
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fencing token.
    pub fence: u64,
    /// What the call asks for.
    pub request: Request,
    /// Connection on which the token was sent before, if it was. A grant may go on no other one: a
    /// new life of the target may have taken the address, and must not get a token of the old one.
    pub connection: Option<u64>,
}

/// What a call asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// The target may serve the keys for this time.
    Grant {
        /// Length of the grant from the arrival of the call.
        duration: Duration,
        /// What the last owner handed over.
        handover: Option<Arc<str>>,
    },
    /// The target ends its work on the keys.
    Release,
}

/// What became of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It was carried out.
    Done {
        /// State that the next owner is to get.
        handover: Option<Arc<str>>,
    },
    /// The target has seen a higher token.
    Fenced,
    /// There is no answer, or none that tells what became of it. The connection is closed.
    Unknown,
    /// Nothing was sent.
    Unsent,
    /// Nothing was sent, because the connection on which the token was sent before is gone.
    ConnectionGone,
}

#[derive(Clone, Debug, Default)]
struct Work {
    /// Whether a call is under way.
    busy: bool,
    /// When the last call was sent.
    sent: Option<Stamp>,
    /// Connection on which the token was sent.
    line: Option<u64>,
    /// Whether that connection is gone, so that the keys need a new token.
    severed: bool,
    /// Whether the owner has confirmed the grant.
    granted: bool,
    /// Whether the last call was not confirmed.
    failed: bool,
    /// Whether the owner is taken to hold the keys because it did so under an earlier token.
    assumed: bool,
    /// What the last owner handed over.
    handover: Option<Arc<str>>,
}

#[derive(Clone, Debug, Default)]
struct Contact {
    /// Calls under way that extend a hold.
    open: u32,
    /// End of the longest hold that was sent, if any was sent in this term.
    held: Option<Stamp>,
    /// Since when the target has not answered.
    silent: Option<Stamp>,
}

#[derive(Clone, Debug, Default)]
struct Domain {
    table: Table,
    /// Work on holdings by first key, last key and token.
    work: HashMap<(u16, u16, u64), Work>,
    /// Work on earlier owners.
    releases: HashMap<(u16, u16, u64, Incarnation), Work>,
}

/// The coordinator's state during one term.
#[derive(Clone, Debug)]
pub struct Coordinator {
    options: Options,
    /// When the last successful confirmation of the leadership was sent.
    confirmed: Stamp,
    domains: BTreeMap<Arc<str>, Domain>,
    contacts: HashMap<Incarnation, Contact>,
    /// Lives that may hold keys under grants of earlier coordinators, and until when.
    inherited: HashMap<Incarnation, Stamp>,
    /// Highest token of each service at the takeover.
    base: BTreeMap<Arc<str>, u64>,
}

/// A holding and whether its owner serves the keys.
pub type Served = (Holding, bool);

/// Tables of all services, as the store keeps them.
pub type Tables = BTreeMap<Arc<str>, Table>;

impl Coordinator {
    /// Starts a term with the tables that the store has. `confirmed` is when the call that took
    /// the leadership was sent, `now` when its success was known.
    pub fn new(options: Options, tables: Tables, confirmed: Stamp, now: Stamp) -> Self {
        let holdings = tables.values().flat_map(|table| &table.holdings);
        let lives = holdings
            .flat_map(|holding| std::iter::once(&holding.owner).chain(&holding.earlier).cloned());
        let end = now + options.grant_horizon;
        let inherited = lives.map(|life| (life, end)).collect();
        let base = tables.iter().map(|(service, table)| (service.clone(), table.fence)).collect();
        let domain = |table: Table| {
            // A holding that waits for an earlier owner was not granted yet.
            let settled = table.holdings.iter().filter(|holding| holding.earlier.is_empty());
            let work =
                |holding: &Holding| (holding.id(), Work { assumed: true, ..Work::default() });
            let work = settled.map(work).collect();
            Domain { table, work, ..Domain::default() }
        };
        let domains = tables.into_iter().map(|(service, table)| (service, domain(table)));
        let domains = domains.collect();
        let contacts = HashMap::new();
        Self { options, confirmed, domains, contacts, inherited, base }
    }

    /// Returns the tables with the same owners under new tokens, to be written at the begin of a
    /// term. Neighboring holdings of one owner become one.
    pub fn with_renewed_fences(&self) -> Tables {
        let mut tables = self.tables();
        for table in tables.values_mut() {
            table.renew_fences();
        }
        tables
    }

    /// Returns the targets that may hold keys under grants of this coordinator and of earlier ones, and for
    /// how long. It holds if no call is sent any more.
    pub fn outstanding_grants(&self, now: Stamp) -> Vec<(Incarnation, Duration)> {
        let mut ends = self.inherited.clone();
        for (life, contact) in &self.contacts {
            let open = (contact.open > 0)
                .then(|| now + CALL_TIMEOUT + longest(self.options.max_grant_duration));
            if let Some(end) = open.max(contact.held) {
                let known = ends.entry(life.clone()).or_insert(end);
                *known = end.max(*known);
            }
        }
        let later = ends.into_iter().filter(|(_, end)| *end > now);
        later.map(|(life, end)| (life, end.since(now))).collect()
    }

    /// Takes over what [`Coordinator::outstanding_grants`] returned at the one coordinator that has sent grants since the
    /// tables were last written, instead of the longest time that it may have granted keys for.
    pub fn limit_inherited_grants(&mut self, ends: &HashMap<Incarnation, Stamp>) {
        for (life, end) in &mut self.inherited {
            *end = ends.get(life).copied().unwrap_or_default().min(*end);
        }
    }

    /// Returns how many targets may hold keys under grants of earlier coordinators, and until when.
    pub fn inherited_grants(&self, now: Stamp) -> (usize, Duration) {
        let lasting = self.inherited.values().filter(|end| **end > now);
        let longest = lasting.clone().max().map_or(Duration::ZERO, |end| end.since(now));
        (lasting.count(), longest)
    }

    /// Records a confirmation of the leadership that was sent at `sent`.
    pub fn confirm_leadership(&mut self, sent: Stamp) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// Returns whether changes of ownership make sense: the store was reachable just now.
    pub fn is_recently_confirmed(&self, now: Stamp) -> bool {
        now.since(self.confirmed) < UNCONFIRMED
    }

    /// Returns the tables with changes applied; they are to be written to the store.
    pub fn propose(&self, moves: &[(Arc<str>, Move)]) -> Tables {
        let mut tables = self.tables();
        for (service, step) in moves {
            tables.entry(service.clone()).or_default().apply(step);
        }
        for table in tables.values_mut() {
            table.merge_adjacent();
        }
        tables
    }

    /// Takes over tables that were written to the store.
    pub fn adopt(&mut self, tables: Tables) {
        for (service, table) in tables {
            let domain = self.domains.entry(service).or_default();
            let old = std::mem::take(&mut domain.work);
            let before = std::mem::take(&mut domain.table);
            // The same owner under a new token goes on with the keys until it gets that token.
            let goes_on = |holding: &Holding| {
                let held = |part: &Holding| {
                    let work = old.get(&part.id());
                    part.owner == holding.owner
                        && work.is_some_and(|work| work.granted || work.assumed)
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
                // A holding that was cut smaller keeps what is known of the whole.
                let parts = by_fence.get(&holding.fence);
                let whole = parts.and_then(|parts| {
                    let holds =
                        |part: &&(u16, u16)| part.0 <= holding.first && holding.last <= part.1;
                    let (first, last) = *parts.iter().find(holds)?;
                    old.get(&(first, last, holding.fence)).map(|work| ((first, last), work))
                });
                // A call that is under way for the whole is not found again by its parts, so it is
                // not known on which connection their token was sent.
                let part = |work: &Work| {
                    let lost = work.busy && work.line.is_none();
                    Work { busy: false, severed: work.severed || lost, ..work.clone() }
                };
                let work = whole.map(|(keys, work)| {
                    if keys == (holding.first, holding.last) { work.clone() } else { part(work) }
                });
                let new = || Work { assumed: goes_on(holding), ..Work::default() };
                domain.work.insert(id, work.unwrap_or_else(new));
            }
            domain.table = table;
        }
    }

    /// Returns the tables as they are known to be in the store, without earlier owners that have
    /// been settled since.
    pub fn tables(&self) -> Tables {
        let table =
            |(service, domain): (&Arc<str>, &Domain)| (service.clone(), domain.table.clone());
        self.domains.iter().map(table).collect()
    }

    /// Returns each service's holdings, each with whether its owner serves the keys.
    pub fn served_holdings(&self) -> Vec<(Arc<str>, Vec<Served>)> {
        let holdings = |domain: &Domain| {
            let granted = |holding: &Holding| {
                domain.work.get(&holding.id()).is_some_and(|work| work.granted || work.assumed)
            };
            let with = |holding: &Holding| (holding.clone(), granted(holding));
            domain.table.holdings.iter().map(with).collect()
        };
        self.domains.iter().map(|(service, domain)| (service.clone(), holdings(domain))).collect()
    }

    /// Returns whether a target has not answered grants for [`UNRESPONSIVE_AFTER`].
    pub fn is_unresponsive(&self, life: &Incarnation, now: Stamp) -> bool {
        let since = self.contacts.get(life).and_then(|contact| contact.silent);
        since.is_some_and(|since| now.since(since) >= UNRESPONSIVE_AFTER)
    }

    /// Returns whether a life can hold no key under the grants of this and earlier terms.
    ///
    /// A new life of the target proves nothing: it may have taken grants that were meant for the old
    /// one before it was listed. A release that the new life answers settles both.
    fn lapsed(&self, life: &Incarnation, now: Stamp) -> bool {
        if self.inherited.get(life).is_some_and(|end| now <= *end) {
            return false;
        }
        let Some(contact) = self.contacts.get(life) else { return true };
        contact.open == 0 && contact.held.is_none_or(|end| now > end)
    }

    /// Returns the length of a grant that is sent now, or none if the last confirmation of the
    /// leadership is too old.
    fn hold(&self, now: Stamp) -> Option<Duration> {
        let wanted = if self.is_recently_confirmed(now) {
            self.options.grant_duration
        } else {
            self.options.max_grant_duration
        };
        let left = (self.confirmed + self.options.grant_horizon).since(now + CALL_TIMEOUT);
        let most = left.saturating_sub(Duration::from_millis(50)).div_f64(1.03);
        let hold = wanted.min(most);
        (hold >= Duration::from_millis(300)).then_some(hold)
    }

    /// Returns the calls that are due. Each must be answered with [`Coordinator::record_reply`].
    pub fn due_calls(&mut self, registry: &Registry, now: Stamp) -> Vec<Call> {
        let mut calls = Vec::new();
        let services: Vec<Arc<str>> = self.domains.keys().cloned().collect();
        for service in services {
            let holdings = match self.domains.get(&service) {
                Some(domain) => domain.table.holdings.clone(),
                None => continue,
            };
            for holding in holdings {
                self.due_of(&service, &holding, registry, now, &mut calls);
            }
        }
        calls
    }

    fn due_of(
        &mut self,
        service: &Arc<str>,
        holding: &Holding,
        registry: &Registry,
        now: Stamp,
        calls: &mut Vec<Call>,
    ) {
        let (first, last, fence) = holding.id();
        let mut waiting = false;
        for life in &holding.earlier {
            if self.lapsed(life, now) || registry.is_known_ended(life) {
                if let Some(domain) = self.domains.get_mut(service) {
                    domain.table.remove_earlier(first, last, fence, life);
                }
                continue;
            }
            waiting = true;
            let Some(domain) = self.domains.get_mut(service) else { return };
            let work = domain.releases.entry((first, last, fence, life.clone())).or_default();
            let recent = work.sent.is_some_and(|sent| now.since(sent) < RELEASE_RETRY);
            if work.busy || recent {
                continue;
            }
            (work.busy, work.sent) = (true, Some(now));
            let call = Call {
                service: service.clone(),
                incarnation: life.clone(),
                first,
                last,
                fence: holding.release_fence(),
                request: Request::Release,
                connection: None,
            };
            calls.push(call);
        }
        let known = registry.get(&holding.owner.id);
        let ended = known.is_some_and(|member| member.target.incarnation != holding.owner);
        let Some(hold) = self.hold(now) else { return };
        // The connections on which an earlier coordinator sent its tokens are not known.
        let inherited = self.base.get(service).is_some_and(|base| fence <= *base);
        if waiting || ended || inherited {
            return;
        }
        let renewal = self.options.renewal_interval;
        let confirmed = now.since(self.confirmed);
        let Some(domain) = self.domains.get_mut(service) else { return };
        let work = domain.work.entry((first, last, fence)).or_default();
        let pause = if work.granted && !work.failed { renewal } else { GRANT_RETRY };
        let recent = work.sent.is_some_and(|sent| now.since(sent) < pause);
        let unsure = work.line.is_none() && confirmed > FIRST_SENDING;
        if work.busy || work.severed || recent || unsure {
            return;
        }
        (work.busy, work.sent) = (true, Some(now));
        let (handover, line) = (work.handover.clone(), work.line);
        self.contacts.entry(holding.owner.clone()).or_default().open += 1;
        calls.push(Call {
            service: service.clone(),
            incarnation: holding.owner.clone(),
            first,
            last,
            fence,
            request: Request::Grant { duration: hold, handover },
            connection: line,
        });
    }

    /// Returns the connections on which tokens that are in use were sent.
    pub fn grant_connections(&self) -> HashSet<u64> {
        let works = self.domains.values().flat_map(|domain| domain.work.values());
        works.filter_map(|work| work.line).collect()
    }

    /// Returns moves of keys to the owner that they have, under a new token, where the connection on
    /// which the token was sent is gone.
    pub fn fence_reissues(&self) -> Vec<(Arc<str>, Move)> {
        let mut moves = Vec::new();
        for (service, domain) in &self.domains {
            for holding in &domain.table.holdings {
                if domain.work.get(&holding.id()).is_some_and(|work| work.severed) {
                    let (first, last, to) = (holding.first, holding.last, holding.owner.clone());
                    moves.push((service.clone(), Move { first, last, to }));
                }
            }
        }
        moves
    }

    /// Records the result of a call, and the connection on which it was sent. Returns true if a
    /// target became the confirmed owner of keys.
    pub fn record_reply(
        &mut self,
        call: &Call,
        reply: &Reply,
        line: Option<u64>,
        now: Stamp,
    ) -> bool {
        match &call.request {
            Request::Grant { duration: hold, .. } => {
                self.grant_ended(call, *hold, reply, line, now)
            }
            Request::Release => {
                self.release_ended(call, reply);
                false
            }
        }
    }

    fn grant_ended(
        &mut self,
        call: &Call,
        hold: Duration,
        reply: &Reply,
        line: Option<u64>,
        now: Stamp,
    ) -> bool {
        let contact = self.contacts.entry(call.incarnation.clone()).or_default();
        contact.open = contact.open.saturating_sub(1);
        match reply {
            Reply::Done { .. } | Reply::Unknown => {
                let end = now + longest(hold);
                contact.held = Some(contact.held.map_or(end, |held| held.max(end)));
            }
            Reply::Fenced | Reply::Unsent | Reply::ConnectionGone => {}
        }
        match reply {
            Reply::ConnectionGone => {}
            Reply::Done { .. } | Reply::Fenced => contact.silent = None,
            Reply::Unknown | Reply::Unsent => {
                contact.silent.get_or_insert(now);
            }
        }
        let Some(domain) = self.domains.get_mut(&call.service) else { return false };
        let Some(work) = domain.work.get_mut(&(call.first, call.last, call.fence)) else {
            return false;
        };
        work.busy = false;
        let done = matches!(reply, Reply::Done { .. });
        let fresh = done && !work.granted;
        work.line = work.line.or(line);
        work.severed = matches!(reply, Reply::ConnectionGone);
        // The keys are served on until their hold ends or the new token arrives.
        if !work.severed {
            work.assumed = false;
        }
        work.failed = !done;
        if done {
            work.granted = true;
            work.handover = None;
        }
        if fresh
            && self.inherited.contains_key(&call.incarnation)
            && self.replaced(&call.incarnation)
        {
            self.inherited.remove(&call.incarnation);
        }
        fresh
    }

    /// Returns whether grants of this term have replaced all that a life may hold.
    fn replaced(&self, life: &Incarnation) -> bool {
        self.domains.iter().all(|(service, domain)| {
            let base = self.base.get(service).copied().unwrap_or(0);
            domain.table.holdings.iter().all(|holding| {
                let granted = || domain.work.get(&holding.id()).is_some_and(|work| work.granted);
                let owner = holding.owner == *life;
                !holding.earlier.contains(life) && (!owner || holding.fence > base && granted())
            })
        })
    }

    fn release_ended(&mut self, call: &Call, reply: &Reply) {
        let Some(domain) = self.domains.get_mut(&call.service) else { return };
        let fence = call.fence + 1;
        let id = (call.first, call.last, fence, call.incarnation.clone());
        let Reply::Done { handover } = reply else {
            if let Some(work) = domain.releases.get_mut(&id) {
                work.busy = false;
            }
            return;
        };
        domain.releases.remove(&id);
        domain.table.remove_earlier(call.first, call.last, fence, &call.incarnation);
        if handover.is_none() {
            return;
        }
        if let Some(work) = domain.work.get_mut(&(call.first, call.last, fence)) {
            work.handover.clone_from(handover);
        }
    }
}
