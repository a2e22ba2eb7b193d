//! Campaigns for the coordination of keyed services and carries out the coordinator's decisions.

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
use caraway_fleet::reports::Reports;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::feed::INSTANCES;
use crate::feed::LEADER;
use crate::feed::OWNERS;
use crate::line::Line;
use crate::line::ask_grant;
use crate::line::ask_release;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Announcer;
use crate::pool::Failure;
use crate::state::State;
use crate::store::send;

/// Time between renewals of the lease.
const RENEWAL: Duration = Duration::from_millis(400);

/// Time between looks at what is due: a fraction of the time between renewals of a grant.
const TICK: Duration = Duration::from_millis(60);

/// Time between looks for targets that left and keys without an owner.
const REPAIR: Duration = Duration::from_millis(240);

/// Time between looks at the balance, in which enough requests are counted for a decision.
const BALANCE: Duration = Duration::from_millis(480);

/// Time between looks for instances that are gone.
const CENSUS: Duration = Duration::from_secs(15);

/// Time between two messages with the owners, in which confirmations gather.
const TELL: Duration = Duration::from_millis(100);

/// The coordinator's term on this instance.
#[derive(Debug)]
struct Term {
    state: Rc<State>,
    reports: Rc<RefCell<Reports>>,
    lease: u64,
    term: u64,
    change: u64,
    /// Revision of the tables in the store, and the one that this term began with.
    written: u64,
    found: u64,
    /// Whether the coordinator before has told what targets may hold.
    inherited: bool,
    /// The tables in the store.
    stored: Tables,
    /// When they were last written.
    changed: Stamp,
    coordinator: Coordinator,
    started: Stamp,
    next_renewal: Stamp,
    next_repair: Stamp,
    next_balance: Stamp,
    next_census: Stamp,
    renewing: bool,
    /// Connections for grants by number.
    lines: HashMap<u64, Rc<Mutex<Line>>>,
    /// Number of the latest line.
    last_line: u64,
    /// When the instances were last told the owners, and whether there is something to tell.
    told: Stamp,
    untold: bool,
    announcer: Announcer,
    /// Whether the holdings have tokens of this term.
    renumbered: bool,
    tell: UnboundedSender<Outcome>,
    work: JoinSet<()>,
}

#[derive(Debug)]
enum Outcome {
    Grant(Call, Reply, Option<u64>, Stamp),
    Renewal(Result<bool, String>, Stamp),
}

/// Campaigns, and coordinates while elected, until the process stops.
pub async fn run(state: Rc<State>, reports: Rc<RefCell<Reports>>) {
    while !state.stopping.get() {
        if state.leader.borrow().is_some() || state.heard.get().is_none() {
            let _ = timeout(Duration::from_millis(500), state.leader_changed.notified()).await;
            continue;
        }
        if state.configuration().is_none() {
            sleep(REPAIR).await;
            continue;
        }
        let name = state.settings.name.clone();
        let largest = {
            let instances = state.instances.borrow();
            instances.values().map(|instance| instance.processor).fold(0.0, f64::max)
        };
        let own = state.settings.cpu_share;
        let delay = election::delay(&name, state.leader_revision.get(), own, largest);
        sleep(delay).await;
        if state.leader.borrow().is_some() || state.stopping.get() {
            continue;
        }
        match campaign(&state, &reports).await {
            Ok(Some((term, outcomes))) => {
                let (number, holdings) = (term.term, term.holdings());
                emit(Event::CoordinatorElected { term: number, holdings });
                state.leading.set(true);
                // The coordinator's watch waits less.
                state.rewatch.notify_waiters();
                let (term, reason) = lead(term, outcomes).await;
                state.leading.set(false);
                emit(Event::CoordinatorEnded { term: number, reason });
                term.end().await;
            }
            Ok(None) => sleep(REPAIR).await,
            Err(error) => {
                emit(Event::TaskFailed { task: "campaign".to_owned(), error });
                sleep(REPAIR).await;
            }
        }
    }
}

/// Takes the coordination if it is free; none if another instance was faster.
async fn campaign(
    state: &Rc<State>,
    reports: &Rc<RefCell<Reports>>,
) -> Result<Option<(Term, UnboundedReceiver<Outcome>)>, String> {
    let text = |error: Failure| error.to_string();
    let none = Duration::ZERO;
    let (status, body) = send(state, &store::start_lease(coordinator::LEASE_TTL), "lease", none)
        .await
        .map_err(text)?;
    let lease = store::lease_answer(status, &body).map_err(|error| error.to_string())?;
    let sent = Clock.now();
    let name = state.settings.name.clone();
    let puts = vec![(LEADER, name.as_bytes(), lease)];
    let transaction = Transaction { conditions: vec![(LEADER, 0)], puts, removals: vec![] };
    let (status, body) =
        send(state, &store::change(&transaction), "change", none).await.map_err(text)?;
    let change = store::change_answer(status, &body).map_err(|error| error.to_string())?;
    let store::Change::Applied(term) = change else {
        // The lease protects nothing; ending it early spares the store. It lapses anyway.
        let _ = send(state, &store::end_lease(lease), "end", none).await;
        return Ok(None);
    };
    let (tables, written) = read_tables(state).await?;
    let now = Clock.now();
    let options = coordinator::Options::new(state.settings.max_grant_duration);
    let (tell, outcomes) = mpsc::unbounded_channel();
    let term = Term {
        state: state.clone(),
        reports: reports.clone(),
        lease,
        term,
        change: 0,
        written,
        found: written,
        inherited: false,
        stored: tables.clone(),
        changed: now,
        coordinator: Coordinator::new(options, tables, sent, now),
        started: now,
        next_renewal: sent + RENEWAL,
        next_repair: now,
        next_balance: now + BALANCE,
        next_census: now + CENSUS,
        renewing: false,
        lines: HashMap::new(),
        last_line: 0,
        told: now,
        untold: false,
        announcer: Announcer::default(),
        renumbered: false,
        tell,
        work: JoinSet::new(),
    };
    Ok(Some((term, outcomes)))
}

async fn read_tables(state: &Rc<State>) -> Result<(Tables, u64), String> {
    let call = store::read_key(OWNERS);
    let (status, body) =
        send(state, &call, "key", Duration::ZERO).await.map_err(|error| error.to_string())?;
    let item = store::key_answer(status, &body).map_err(|error| error.to_string())?;
    let Some(item) = item else { return Ok((Tables::new(), 0)) };
    let tables = serde_json::from_slice(item.value.as_deref().unwrap_or_default());
    match tables {
        Ok(tables) => Ok((tables, item.revision)),
        Err(error) => {
            let (key, error) = (OWNERS.to_owned(), error.to_string());
            emit(Event::RecordInvalid { key, error: error.clone() });
            Err(error)
        }
    }
}

/// Coordinates until the term ends; returns why it ended.
async fn lead(mut term: Term, mut outcomes: UnboundedReceiver<Outcome>) -> (Term, String) {
    term.publish();
    term.note_inherited("the longest time of a grant");
    loop {
        let _ = timeout(TICK, async {
            if let Some(outcome) = outcomes.recv().await {
                term.take(outcome);
            }
        })
        .await;
        let mut ended = None;
        while let Ok(outcome) = outcomes.try_recv() {
            ended = ended.or(term.take(outcome));
        }
        while term.work.try_join_next().is_some() {}
        if let Some(reason) = ended.or_else(|| term.replaced()) {
            return (term, reason);
        }
        if term.state.stopping.get() {
            return (term, "the process stops".to_owned());
        }
        term.inherit();
        let now = Clock.now();
        if term.untold && now.since(term.told) >= TELL {
            term.untold = false;
            term.publish();
        }
        term.announcer.announce(&term.state, now, &mut term.work);
        term.renew(now);
        if now >= term.next_repair && term.coordinator.is_recently_confirmed(now) {
            term.next_repair = now + REPAIR;
            term.plan(now).await;
        }
        if now >= term.next_census && term.coordinator.is_recently_confirmed(now) {
            term.next_census = now + CENSUS;
            term.forget_instances(now).await;
        }
        term.call(Clock.now());
    }
}

impl Term {
    fn holdings(&self) -> u64 {
        let count: usize = self.coordinator.tables().values().map(|t| t.holdings.len()).sum();
        u64::try_from(count).unwrap_or(u64::MAX)
    }

    /// Returns why the term has ended if the store names another coordinator.
    fn replaced(&self) -> Option<String> {
        let leader = self.state.leader.borrow();
        let other = leader.as_ref().filter(|leader| leader.term > self.term);
        other.map(|leader| format!("{} took over", leader.name))
    }

    /// Takes over from the coordinator before how long targets may hold keys, if nobody else can have
    /// granted any since.
    fn inherit(&mut self) {
        let retired = self.state.retired.borrow();
        if self.inherited || self.found == 0 || retired.written != self.found {
            return;
        }
        self.inherited = true;
        self.coordinator.limit_inherited_grants(&retired.ends);
        drop(retired);
        self.note_inherited("the coordinator before");
    }

    fn note_inherited(&self, source: &str) {
        let (targets, longest) = self.coordinator.inherited_grants(Clock.now());
        if targets > 0 {
            emit(Event::GrantsInherited {
                term: self.term,
                targets: u64::try_from(targets).unwrap_or(u64::MAX),
                longest_ms: millis(longest),
                source: source.to_owned(),
            });
        }
    }

    /// Removes the entries of instances that are gone.
    async fn forget_instances(&mut self, now: Stamp) {
        let silent = {
            let instances = self.state.instances.borrow();
            self.reports.borrow().stale_instances(instances.keys(), self.started, now)
        };
        for name in silent {
            let key = format!("{INSTANCES}{name}");
            let removals = vec![key.as_str()];
            let call = store::change(&Transaction { removals, ..Transaction::default() });
            match send(&self.state, &call, "forget", Duration::ZERO).await {
                Ok((200, _)) => emit(Event::InstanceForgotten { instance: name.to_string() }),
                Ok((status, _)) => {
                    let error = format!("the store answered {status}");
                    emit(Event::TaskFailed { task: "removal of an instance".to_owned(), error });
                }
                Err(error) => emit(Event::StoreUnreachable { error: error.to_string() }),
            }
        }
    }

    /// Ends the term: sends nothing more, tells the other instances what targets may still hold, and
    /// then lets another one take over.
    async fn end(mut self) {
        self.work.shutdown().await;
        let ends = self.coordinator.outstanding_grants(Clock.now());
        peers::retire(&self.state, self.written, ends).await;
        if self.state.stopping.get() {
            let call = store::end_lease(self.lease);
            // Without an answer the lease lapses by itself.
            let _ = send(&self.state, &call, "end", Duration::ZERO).await;
        }
    }

    fn take(&mut self, outcome: Outcome) -> Option<String> {
        match outcome {
            Outcome::Renewal(result, sent) => {
                self.renewing = false;
                match result {
                    Ok(true) => self.coordinator.confirm_leadership(sent),
                    Ok(false) => return Some("the lease has ended".to_owned()),
                    Err(error) => emit(Event::StoreUnreachable { error }),
                }
            }
            Outcome::Grant(call, reply, line, now) => {
                self.report(&call, &reply);
                self.untold |= self.coordinator.record_reply(&call, &reply, line, now);
            }
        }
        None
    }

    fn report(&self, call: &Call, reply: &Reply) {
        let result = match reply {
            Reply::Done { .. } => "done",
            Reply::Fenced => "a higher token was seen",
            Reply::Unknown => "no valid answer",
            Reply::Unsent => "no connection",
            Reply::ConnectionGone => "the connection of its grant is gone; it gets a new token",
        };
        Metrics::count(&self.state.metrics.grants, "result", result);
        let (service, target) = (call.service.to_string(), call.incarnation.id.to_string());
        let (first, last, fence) = (u64::from(call.first), u64::from(call.last), call.fence);
        match (reply, &call.request) {
            (Reply::Done { .. }, Request::Grant { handover, .. }) => {
                let known = self.state.view.borrow();
                let granted = known.services.get(&call.service).and_then(|o| o.find(call.first));
                if granted.is_none_or(|(life, granted)| !granted || *life != call.incarnation) {
                    let handover = if handover.is_some() { "yes" } else { "no" }.to_owned();
                    emit(Event::KeysGranted { service, first, last, target, fence, handover });
                }
            }
            (Reply::Done { .. }, Request::Release) => {}
            (Reply::Fenced | Reply::Unknown | Reply::Unsent | Reply::ConnectionGone, _) => {
                let result = result.to_owned();
                emit(Event::GrantUnanswered { service, first, last, target, fence, result });
            }
        }
    }

    fn renew(&mut self, now: Stamp) {
        if self.renewing || now < self.next_renewal {
            return;
        }
        self.renewing = true;
        self.next_renewal = now + RENEWAL;
        let (state, tell, lease) = (self.state.clone(), self.tell.clone(), self.lease);
        self.work.spawn_local(async move {
            let sent = Clock.now();
            let call = store::renew_lease(lease);
            let result = match send(&state, &call, "renew", Duration::ZERO).await {
                Ok((status, _)) => store::renewal_answer(status).map_err(|e| e.to_string()),
                Err(error) => Err(error.to_string()),
            };
            // The receiver is gone only when the term has ended.
            let _ = tell.send(Outcome::Renewal(result, sent));
        });
    }

    /// Sends the calls to targets that are due.
    fn call(&mut self, now: Stamp) {
        let calls = self.coordinator.due_calls(&self.state.registry.borrow(), now);
        for call in calls {
            let address = {
                let registry = self.state.registry.borrow();
                // A release may be answered by a later life, which holds what the earlier one got.
                let any = call.request == Request::Release;
                let member = registry.get(&call.incarnation.id);
                let listed = member.filter(|m| any || m.target.incarnation == call.incarnation);
                listed
                    .map(|m| m.target.address)
                    .or_else(|| registry.last_address(&call.incarnation))
            };
            let (state, tell) = (self.state.clone(), self.tell.clone());
            let line = self.line(&call);
            self.work.spawn_local(async move {
                let reply = match (&call.request, address, &line) {
                    (_, None, _) => Reply::Unsent,
                    (Request::Release, Some(address), _) => {
                        ask_release(&state, &call, address).await
                    }
                    (Request::Grant { .. }, _, None) => Reply::ConnectionGone,
                    (Request::Grant { .. }, Some(address), Some((_, line))) => {
                        ask_grant(line, &call, address, now).await
                    }
                };
                let sent = matches!(reply, Reply::Done { .. } | Reply::Fenced | Reply::Unknown);
                let line = line.filter(|_| sent).map(|(number, _)| number);
                // The receiver is gone only when the term has ended.
                let _ = tell.send(Outcome::Grant(call, reply, line, Clock.now()));
            });
        }
    }

    /// Returns the connection for a grant with its number: a new one for a new token, and none if that
    /// of the token is gone.
    fn line(&mut self, call: &Call) -> Option<(u64, Rc<Mutex<Line>>)> {
        if call.request == Request::Release {
            return None;
        }
        let number = call.connection.unwrap_or_else(|| {
            self.last_line += 1;
            self.lines.insert(self.last_line, Rc::default());
            self.last_line
        });
        self.lines.get(&number).map(|line| (number, line.clone()))
    }
}
