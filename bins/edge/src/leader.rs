//! Leader election for the coordinator of keyed services, and execution of its decisions.

mod era;
mod plan;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_adapter::store;
use caraway_adapter::store::Transaction;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::coordinator;
use caraway_fleet::coordinator::Call;
use caraway_fleet::coordinator::Coordinator;
use caraway_fleet::coordinator::Reply;
use caraway_fleet::coordinator::Request;
use caraway_fleet::coordinator::Tables;
use caraway_fleet::election;
use caraway_fleet::era::Revision;
use caraway_fleet::evacuation::Batches;
use caraway_fleet::proof::Witness;
use caraway_fleet::reports::Reports;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use self::era::read_tables;
use self::era::takeover;
use crate::grant::Channel;
use crate::grant::confirm;
use crate::grant::send_grant;
use crate::grant::send_release;
use crate::metrics::Metrics;
use crate::peers::Announcer;
use crate::pool::Failure;
use crate::state::State;
use crate::store::send;
use crate::sync::COORDINATOR_KEY;
use crate::sync::INSTANCE_PREFIX;

/// Interval between renewals of the leader lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Longest interval between checks for due work: a fraction of the renewal interval of grants.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Interval between checks for removed targets and keys without an owner.
const REPAIR_INTERVAL: Duration = Duration::from_millis(240);

/// Interval between rebalancing decisions: long enough to count a meaningful number of requests.
const BALANCE_INTERVAL: Duration = Duration::from_millis(480);

/// Interval between checks for instances that no longer report.
const INSTANCE_CHECK_INTERVAL: Duration = Duration::from_secs(15);

/// Minimum interval between messages with the owners, to batch confirmations of grants.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// A term of this instance as the coordinator.
#[derive(Debug)]
struct Term {
    state: Rc<State>,
    reports: Rc<RefCell<Reports>>,
    /// Id of the lease of the coordinator's record.
    lease: u64,
    /// Number of the term: the store revision at which this instance was elected.
    number: Revision,
    /// Number of the latest published change of the owners.
    change: u64,
    /// Revision of the tables in the store.
    tables_revision: Revision,
    /// Revision of the tables at the start of the term.
    initial_revision: Revision,
    /// Whether the stored tables are those of this era.
    settled: bool,
    /// Whether the owners were published.
    published: bool,
    /// Whether the retirement of the previous coordinator has been applied.
    retirement_applied: bool,
    /// The tables in the store.
    stored_tables: Tables,
    /// Time at which they were last written.
    tables_written: Stamp,
    coordinator: Coordinator,
    started: Stamp,
    next_renewal: Stamp,
    next_repair: Stamp,
    next_balance: Stamp,
    next_instance_check: Stamp,
    /// Whether a renewal of the lease is in flight.
    renewing: bool,
    /// Connections for grants by id.
    channels: HashMap<u64, Rc<Mutex<Channel>>>,
    /// Id of the latest channel.
    last_channel_id: u64,
    /// Time at which the owners were last published.
    last_published: Stamp,
    /// Whether the owners have changed since.
    publish_pending: bool,
    announcer: Announcer,
    /// Moves out of evacuated failure domains.
    batches: Batches,
    /// Whether the holdings have fencing tokens of this term.
    fences_renewed: bool,
    outcome_sender: UnboundedSender<Outcome>,
    tasks: JoinSet<()>,
}

/// Result of a task of the term.
#[derive(Debug)]
enum Outcome {
    /// Reply to a call to a target, the id of the channel on which it was sent, and the time of the reply.
    Grant(Call, Reply, Option<u64>, Stamp),
    /// Result of a renewal of the lease, and the time at which it was sent.
    Renewal(Result<bool, String>, Stamp),
}

/// Campaigns for election, and coordinates while elected, until the process stops.
pub async fn run(state: Rc<State>, reports: Rc<RefCell<Reports>>) {
    while !state.shutdown.is_stopping() {
        if state.leader.borrow().is_some() || state.last_store_response.get().is_none() {
            let _ = timeout(Duration::from_millis(500), state.leader_changed.notified()).await;
            continue;
        }
        if state.configuration().is_none() {
            sleep(REPAIR_INTERVAL).await;
            continue;
        }
        let name = state.settings.name.clone();
        let largest_share = {
            let instances = state.instances.borrow();
            instances.values().map(|instance| instance.cpu_share).fold(0.0, f64::max)
        };
        let own_share = state.settings.cpu_share;
        let delay =
            election::delay(&name, state.leader_revision.get().number, own_share, largest_share);
        sleep(delay).await;
        state.wait_for_store().await;
        if state.leader.borrow().is_some() || state.shutdown.is_stopping() {
            continue;
        }
        match campaign(&state, &reports).await {
            Ok(Some((term, outcomes))) => {
                let (term_number, holdings) = (term.number, term.holdings());
                emit(Event::CoordinatorElected { term: term_number.number, holdings });
                state.begin_term();
                let (term, reason) = lead(term, outcomes).await;
                state.end_term();
                emit(Event::CoordinatorEnded { term: term_number.number, reason });
                term.end().await;
            }
            Ok(None) => sleep(REPAIR_INTERVAL).await,
            Err(error) => {
                emit(Event::TaskFailed { task: "campaign".to_owned(), error });
                sleep(REPAIR_INTERVAL).await;
            }
        }
    }
}

/// Attempts to become the coordinator; returns `None` if another instance was faster.
async fn campaign(
    state: &Rc<State>,
    reports: &Rc<RefCell<Reports>>,
) -> Result<Option<(Term, UnboundedReceiver<Outcome>)>, String> {
    let describe = |error: Failure| error.to_string();
    let era = state.era();
    let no_wait = Duration::ZERO;
    let (status, body) = send(state, &store::start_lease(coordinator::LEASE_TTL), "lease", no_wait)
        .await
        .map_err(describe)?;
    let lease = store::parse_lease(status, &body).map_err(|error| error.to_string())?;
    let sent = Clock.now();
    let name = state.settings.name.clone();
    let puts = vec![(COORDINATOR_KEY, name.as_bytes(), lease)];
    let transaction =
        Transaction { conditions: vec![(COORDINATOR_KEY, 0)], puts, removals: vec![] };
    let (status, body) =
        send(state, &store::change(&transaction), "change", no_wait).await.map_err(describe)?;
    let change = store::parse_change(status, &body).map_err(|error| error.to_string())?;
    let store::Change::Applied(term) = change else {
        // The lease is unused. Ending it now relieves the store; otherwise it expires.
        let _ = send(state, &store::end_lease(lease), "end", no_wait).await;
        return Ok(None);
    };
    let (record, tables_revision) = read_tables(state).await?;
    if state.era() != era {
        // The lease and the term are those of an earlier era.
        return Ok(None);
    }
    let settled = record.era >= era;
    let tables = record.tables.clone();
    let takeover = takeover(state, record);
    let now = Clock.now();
    let options = coordinator::Options::new(state.settings.max_grant_duration);
    let (outcome_sender, outcomes) = mpsc::unbounded_channel();
    let term = Term {
        state: state.clone(),
        reports: reports.clone(),
        lease,
        number: Revision::new(era, term),
        change: 0,
        tables_revision,
        initial_revision: tables_revision,
        settled,
        published: false,
        retirement_applied: false,
        stored_tables: tables,
        tables_written: now,
        coordinator: Coordinator::take_over(options, takeover, sent, now),
        started: now,
        next_renewal: sent + RENEWAL_INTERVAL,
        next_repair: now,
        next_balance: now + BALANCE_INTERVAL,
        next_instance_check: now + INSTANCE_CHECK_INTERVAL,
        renewing: false,
        channels: HashMap::new(),
        last_channel_id: 0,
        last_published: now,
        publish_pending: false,
        announcer: Announcer::default(),
        batches: Batches::default(),
        fences_renewed: false,
        outcome_sender,
        tasks: JoinSet::new(),
    };
    Ok(Some((term, outcomes)))
}

/// Coordinates until the term ends; returns the term and the reason for its end.
async fn lead(mut term: Term, mut outcomes: UnboundedReceiver<Outcome>) -> (Term, String) {
    term.log_start();
    loop {
        let first = timeout(POLL_INTERVAL, outcomes.recv()).await;
        let mut ended = first.ok().flatten().and_then(|outcome| term.handle_outcome(outcome));
        while let Ok(outcome) = outcomes.try_recv() {
            ended = ended.or(term.handle_outcome(outcome));
        }
        while term.tasks.try_join_next().is_some() {}
        if let Some(reason) = ended.or_else(|| term.invalidated()) {
            return (term, reason);
        }
        if term.state.shutdown.is_stopping() {
            return (term, "the process is stopping".to_owned());
        }
        term.apply_retirement();
        term.start_anew();
        let now = Clock.now();
        if !term.published && !term.coordinator.is_recovering() {
            term.publish();
        }
        if term.publish_pending && now.since(term.last_published) >= PUBLISH_INTERVAL {
            term.publish_pending = false;
            term.publish();
        }
        term.announcer.announce(&term.state, now, &mut term.tasks);
        term.renew_lease(now);
        if now >= term.next_repair && term.coordinator.is_recently_confirmed(now) {
            term.next_repair = now + REPAIR_INTERVAL;
            term.update_ownership(now).await;
        }
        if now >= term.next_instance_check && term.coordinator.is_recently_confirmed(now) {
            term.next_instance_check = now + INSTANCE_CHECK_INTERVAL;
            term.remove_stale_instances(now).await;
        }
        term.send_due_calls(Clock.now());
    }
}

impl Term {
    /// Returns the number of holdings in the tables.
    fn holdings(&self) -> u64 {
        let count: usize = self.coordinator.tables().values().map(|t| t.holdings.len()).sum();
        u64::try_from(count).unwrap_or(u64::MAX)
    }

    /// Returns the reason for the end of the term if there is a newer coordinator or era.
    fn invalidated(&self) -> Option<String> {
        if self.state.era() != self.number.era {
            return Some(format!("the store continues under era {}", self.state.era()));
        }
        let leader = self.state.leader.borrow();
        let newer = leader.as_ref().filter(|leader| leader.term > self.number);
        newer.map(|leader| format!("{} took over", leader.name))
    }

    /// Limits the inherited grants to those that the previous coordinator announced at its
    /// retirement, if no other coordinator can have sent grants since.
    fn apply_retirement(&mut self) {
        let retirement = self.state.retirement.borrow();
        if self.retirement_applied
            || self.initial_revision.number == 0
            || retirement.tables_revision != self.initial_revision
        {
            return;
        }
        self.retirement_applied = true;
        self.coordinator.limit_inherited_grants(&retirement.grant_expiries);
        drop(retirement);
        self.log_inherited("the previous coordinator");
    }

    /// Logs the inherited grants, if there are any, with the source of their bounds.
    fn log_inherited(&self, source: &str) {
        let (targets, longest) = self.coordinator.inherited_grants(Clock.now());
        if targets > 0 {
            emit(Event::GrantsInherited {
                term: self.number.number,
                targets: u64::try_from(targets).unwrap_or(u64::MAX),
                longest_ms: millis(longest),
                source: source.to_owned(),
            });
        }
    }

    /// Removes the registrations of instances that no longer report.
    async fn remove_stale_instances(&mut self, now: Stamp) {
        let stale = {
            let instances = self.state.instances.borrow();
            self.reports.borrow().stale_instances(instances.keys(), self.started, now)
        };
        for name in stale {
            let key = format!("{INSTANCE_PREFIX}{name}");
            let removals = vec![key.as_str()];
            let call = store::change(&Transaction { removals, ..Transaction::default() });
            match send(&self.state, &call, "forget", Duration::ZERO).await {
                Ok((200, _)) => emit(Event::InstanceForgotten { instance: name.to_string() }),
                Ok((status, _)) => {
                    let error = format!("the store responded with status {status}");
                    emit(Event::TaskFailed { task: "removal of an instance".to_owned(), error });
                }
                Err(error) => emit(Event::StoreUnreachable { error: error.to_string() }),
            }
        }
    }

    /// Ends the term: stops sending calls, announces the outstanding grants to the other instances,
    /// and then releases the lease if the process is stopping.
    async fn end(mut self) {
        self.tasks.shutdown().await;
        self.announce().await;
        if self.state.shutdown.is_stopping() {
            let call = store::end_lease(self.lease);
            // If this fails, the lease expires.
            let _ = send(&self.state, &call, "end", Duration::ZERO).await;
        }
    }

    /// Handles the result of a task; returns the reason if it ends the term.
    fn handle_outcome(&mut self, outcome: Outcome) -> Option<String> {
        match outcome {
            Outcome::Renewal(result, sent) => {
                self.renewing = false;
                match result {
                    Ok(true) => self.coordinator.confirm_leadership(sent),
                    Ok(false) => return Some("the lease has expired".to_owned()),
                    Err(error) => emit(Event::StoreUnreachable { error }),
                }
            }
            Outcome::Grant(call, reply, channel, now) => {
                self.log_reply(&call, &reply);
                self.publish_pending |= self.coordinator.record_reply(&call, &reply, channel, now);
            }
        }
        None
    }

    /// Counts a reply, and logs it if it is a failure or confirms a new owner.
    fn log_reply(&self, call: &Call, reply: &Reply) {
        let result = match reply {
            Reply::Done { .. } => "done",
            Reply::Fenced => "a higher token was seen",
            Reply::Replaced => "another service answers at the address",
            Reply::Unknown => "no valid answer",
            Reply::Unsent => "no connection",
            Reply::ConnectionGone => "the connection of its grant is gone; it gets a new token",
        };
        Metrics::count(&self.state.metrics.grant_calls, "result", result);
        let (service, target) = (call.service.to_string(), call.incarnation.id.to_string());
        let (first, last, fence) = (u64::from(call.first), u64::from(call.last), call.fence);
        match (reply, &call.request) {
            (Reply::Done { .. }, Request::Grant { handover, .. }) => {
                let view = self.state.view.borrow();
                let granted = view.services.get(&call.service).and_then(|o| o.find(call.first));
                if granted.is_none_or(|(owner, granted)| !granted || *owner != call.incarnation) {
                    let handover = if handover.is_some() { "yes" } else { "no" }.to_owned();
                    emit(Event::KeysGranted { service, first, last, target, fence, handover });
                }
            }
            (Reply::Done { .. } | Reply::Replaced, Request::Release) => {}
            (Reply::Replaced, Request::Grant { .. })
            | (Reply::Fenced | Reply::Unknown | Reply::Unsent | Reply::ConnectionGone, _) => {
                let result = result.to_owned();
                emit(Event::GrantUnanswered { service, first, last, target, fence, result });
            }
        }
    }

    /// Sends a renewal of the lease if it is due.
    fn renew_lease(&mut self, now: Stamp) {
        if self.renewing || now < self.next_renewal {
            return;
        }
        self.renewing = true;
        self.next_renewal = now + RENEWAL_INTERVAL;
        let (state, outcomes, lease) =
            (self.state.clone(), self.outcome_sender.clone(), self.lease);
        self.tasks.spawn_local(async move {
            let sent = Clock.now();
            let call = store::renew_lease(lease);
            let result = match send(&state, &call, "renew", Duration::ZERO).await {
                Ok((status, _)) => store::parse_renewal(status).map_err(|e| e.to_string()),
                Err(error) => Err(error.to_string()),
            };
            // The receiver is gone only when the term has ended.
            let _ = outcomes.send(Outcome::Renewal(result, sent));
        });
    }

    /// Sends the calls to targets that are due, each in its own task.
    fn send_due_calls(&mut self, now: Stamp) {
        // Grants of an ended era are not sent. Releases of all targets need a complete list of them.
        let incomplete = self.coordinator.is_recovering() && !self.state.synchronized.get();
        if self.invalidated().is_some() || incomplete {
            return;
        }
        let calls = self.coordinator.due_calls(&self.state.registry.borrow(), now);
        self.log_clearances();
        for call in calls {
            let address = self.state.registry.borrow().grant_address(&call.incarnation);
            let state = self.state.clone();
            let outcomes = self.outcome_sender.clone();
            let channel = self.channel(&call);
            self.tasks.spawn_local(async move {
                let reply = match (&call.request, address, &channel) {
                    (Request::Release, _, _) => release(&state, &call).await,
                    (_, None, _) => Reply::Unsent,
                    (Request::Grant { .. }, _, None) => Reply::ConnectionGone,
                    (Request::Grant { .. }, Some(address), Some((_, channel))) => {
                        send_grant(channel, &call, address, now).await
                    }
                };
                let sent = matches!(reply, Reply::Done { .. } | Reply::Fenced | Reply::Unknown);
                let channel = channel.filter(|_| sent).map(|(id, _)| id);
                // The receiver is gone only when the term has ended.
                let _ = outcomes.send(Outcome::Grant(call, reply, channel, Clock.now()));
            });
        }
    }

    /// Logs the earlier owners that no longer hold keys, with the proof.
    fn log_clearances(&mut self) {
        for (service, incarnation, proof) in self.coordinator.take_clearances() {
            emit(Event::OwnerCleared {
                service: service.to_string(),
                target: incarnation.id.to_string(),
                born: incarnation.born,
                proof: proof.as_str().to_owned(),
            });
        }
    }

    /// Returns the channel for a grant with its id: a new one for a new fencing token, and `None`
    /// for a release or if the channel of the token no longer exists.
    fn channel(&mut self, call: &Call) -> Option<(u64, Rc<Mutex<Channel>>)> {
        if call.request == Request::Release {
            return None;
        }
        let id = call.connection.unwrap_or_else(|| {
            self.last_channel_id += 1;
            self.channels.insert(self.last_channel_id, Rc::default());
            self.last_channel_id
        });
        self.channels.get(&id).map(|channel| (id, channel.clone()))
    }
}

/// Sends a release and returns its reply. A reply that is a proof only with the id of the process
/// that answers is checked.
async fn release(state: &State, call: &Call) -> Reply {
    let (own, successor) = state.registry.borrow().addresses(&call.incarnation);
    let limit = state.settings.max_grant_duration;
    let (reply, from) = send_release(call, own, successor, limit).await;
    let is_confirmed = async |witness: Witness| {
        let configuration = state.configuration();
        let service = configuration.as_ref().and_then(|c| c.services.get(&witness.service));
        confirm(&witness, service.and_then(|service| service.health_path.as_deref())).await
    };
    match (reply, from) {
        (Reply::Done { handover }, Some(address)) if own != Some(address) => {
            let witness = Witness::elsewhere(&call.incarnation, &call.service, address);
            if is_confirmed(witness).await { Reply::Done { handover } } else { Reply::Unknown }
        }
        (Reply::Unknown, _) => {
            let witness = Witness::at_own_address(&state.registry.borrow(), &call.incarnation);
            match witness {
                Some(witness) if is_confirmed(witness.clone()).await => Reply::Replaced,
                _ => Reply::Unknown,
            }
        }
        (reply, _) => reply,
    }
}
