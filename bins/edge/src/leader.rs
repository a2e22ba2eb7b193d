//! Campaigns for the coordination of keyed services and carries out the coordinator's decisions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
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
use caraway_fleet::admission;
use caraway_fleet::balance;
use caraway_fleet::coordinator;
use caraway_fleet::coordinator::Call;
use caraway_fleet::coordinator::Coordinator;
use caraway_fleet::coordinator::Reply;
use caraway_fleet::coordinator::Request;
use caraway_fleet::coordinator::Tables;
use caraway_fleet::demand;
use caraway_fleet::election;
use caraway_fleet::membership::Life;
use caraway_fleet::membership::Registry;
use caraway_fleet::ownership::Move;
use caraway_fleet::plan;
use caraway_fleet::plan::Candidate;
use caraway_fleet::reports::Reports;
use caraway_fleet::view::Owners;
use caraway_fleet::view::Version;
use caraway_fleet::view::View;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::feed::LEADER;
use crate::feed::OWNERS;
use crate::line::Line;
use crate::line::ask_grant;
use crate::line::ask_release;
use crate::metrics::Metrics;
use crate::peers;
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

/// Time between two messages with the owners, in which confirmations gather.
const TELL: Duration = Duration::from_millis(100);

/// Time after a change of ownership from which the store is told that earlier owners have ended.
/// Most have by then, so that one write tells of all.
const SETTLE: Duration = Duration::from_millis(1500);

/// Time that targets have to register before keys are given out for the first time.
const GATHER: Duration = Duration::from_millis(1500);

/// Time of a request at a target of which nothing is known, in seconds. Only ratios count until
/// the first reports.
const USUAL_TIME: f64 = 0.1;

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
    renewing: bool,
    /// Connections for grants by number.
    lines: HashMap<u64, Rc<Mutex<Line>>>,
    /// Number of the latest line.
    last_line: u64,
    /// When the instances were last told the owners, and whether there is something to tell.
    told: Stamp,
    untold: bool,
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
        let own = state.settings.processor;
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
    let (status, body) =
        send(state, &store::start_lease(coordinator::LEASE), "lease", none).await.map_err(text)?;
    let lease = store::lease_answer(status, &body).map_err(|error| error.to_string())?;
    let sent = Clock.now();
    let name = state.settings.name.clone();
    let puts = vec![(LEADER, name.as_bytes(), lease)];
    let transaction = Transaction { conditions: vec![(LEADER, 0)], puts, removals: vec![] };
    let (status, body) =
        send(state, &store::change(&transaction), "change", none).await.map_err(text)?;
    let change = store::change_answer(status, &body).map_err(|error| error.to_string())?;
    let store::Change::Made(term) = change else {
        // The lease protects nothing; ending it early spares the store. It lapses anyway.
        let _ = send(state, &store::end_lease(lease), "end", none).await;
        return Ok(None);
    };
    let (tables, written) = read_tables(state).await?;
    let now = Clock.now();
    let options = coordinator::Options::new(state.settings.hold_limit);
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
        renewing: false,
        lines: HashMap::new(),
        last_line: 0,
        told: now,
        untold: false,
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
        term.renew(now);
        if now >= term.next_repair && term.coordinator.steady(now) {
            term.next_repair = now + REPAIR;
            term.plan(now).await;
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
        self.coordinator.inherit(&retired.ends);
        drop(retired);
        self.note_inherited("the coordinator before");
    }

    fn note_inherited(&self, source: &str) {
        let (targets, longest) = self.coordinator.inherited(Clock.now());
        if targets > 0 {
            emit(Event::GrantsInherited {
                term: self.term,
                targets: u64::try_from(targets).unwrap_or(u64::MAX),
                longest_ms: millis(longest),
                source: source.to_owned(),
            });
        }
    }

    /// Ends the term: sends nothing more, tells the other instances what targets may still hold, and
    /// then lets another one take over.
    async fn end(mut self) {
        self.work.shutdown().await;
        let ends = self.coordinator.ends(Clock.now());
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
                    Ok(true) => self.coordinator.confirm(sent),
                    Ok(false) => return Some("the lease has ended".to_owned()),
                    Err(error) => emit(Event::StoreUnreachable { error }),
                }
            }
            Outcome::Grant(call, reply, line, now) => {
                self.report(&call, &reply);
                self.untold |= self.coordinator.ended(&call, &reply, line, now);
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
            Reply::Severed => "the connection of its grant is gone; it gets a new token",
        };
        Metrics::count(&self.state.metrics.grants, "result", result);
        let (service, target) = (call.service.to_string(), call.life.id.to_string());
        let (first, last, fence) = (u64::from(call.first), u64::from(call.last), call.fence);
        match (reply, &call.request) {
            (Reply::Done { .. }, Request::Grant { handover, .. }) => {
                let known = self.state.view.borrow();
                let granted = known.services.get(&call.service).and_then(|o| o.find(call.first));
                if granted.is_none_or(|(life, granted)| !granted || *life != call.life) {
                    let handover = if handover.is_some() { "yes" } else { "no" }.to_owned();
                    emit(Event::KeysGranted { service, first, last, target, fence, handover });
                }
            }
            (Reply::Done { .. }, Request::Release) => {}
            (Reply::Fenced | Reply::Unknown | Reply::Unsent | Reply::Severed, _) => {
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
        let calls = self.coordinator.due(&self.state.registry.borrow(), now);
        for call in calls {
            let address = {
                let registry = self.state.registry.borrow();
                // A release may be answered by a later life, which holds what the earlier one got.
                let any = call.request == Request::Release;
                let member = registry.get(&call.life.id);
                let listed = member.filter(|m| any || m.target.life == call.life);
                listed.map(|m| m.target.address).or_else(|| registry.last_address(&call.life))
            };
            let (state, tell) = (self.state.clone(), self.tell.clone());
            let line = self.line(&call);
            self.work.spawn_local(async move {
                let reply = match (&call.request, address, &line) {
                    (_, None, _) => Reply::Unsent,
                    (Request::Release, Some(address), _) => {
                        ask_release(&state, &call, address).await
                    }
                    (Request::Grant { .. }, _, None) => Reply::Severed,
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
        let number = call.line.unwrap_or_else(|| {
            self.last_line += 1;
            self.lines.insert(self.last_line, Rc::default());
            self.last_line
        });
        self.lines.get(&number).map(|line| (number, line.clone()))
    }

    /// Writes changes of ownership to the store.
    async fn plan(&mut self, now: Stamp) {
        let used = self.coordinator.lines();
        // A line that a call is using has a second owner.
        self.lines.retain(|number, line| used.contains(number) || Rc::strong_count(line) > 1);
        if !self.renumbered {
            let tables = self.coordinator.renumber();
            self.renumbered = tables.is_empty() || self.write(tables).await.is_some();
            return;
        }
        let moves = self.moves(now);
        if moves.is_empty() {
            // A successor need not wait for earlier owners that are known to have ended.
            let tables = self.coordinator.tables();
            if tables != self.stored && now.since(self.changed) > SETTLE {
                self.write(tables).await;
            }
            return;
        }
        let steps: Vec<(Arc<str>, Move)> =
            moves.iter().map(|(service, step, _)| (service.clone(), step.clone())).collect();
        let Some(revision) = self.write(self.coordinator.propose(&steps)).await else { return };
        for (service, step, reason) in moves {
            self.state.metrics.moved.inc();
            emit(Event::KeysMoved {
                service: service.to_string(),
                first: step.first.into(),
                last: step.last.into(),
                to: step.to.id.to_string(),
                reason: reason.to_owned(),
                revision,
            });
        }
    }

    /// Writes tables and takes them over; returns their revision, or none if that failed.
    async fn write(&mut self, tables: Tables) -> Option<u64> {
        let value = match serde_json::to_vec(&tables) {
            Ok(value) => value,
            Err(error) => {
                let (key, error) = (OWNERS.to_owned(), error.to_string());
                emit(Event::RecordInvalid { key, error });
                return None;
            }
        };
        let conditions = vec![(LEADER, self.term), (OWNERS, self.written)];
        let puts = vec![(OWNERS, value.as_slice(), 0)];
        let transaction = Transaction { conditions, puts, removals: vec![] };
        let call = store::change(&transaction);
        let answer = send(&self.state, &call, "change", Duration::ZERO).await;
        let change = match answer {
            Ok((status, body)) => {
                store::change_answer(status, &body).map_err(|error| error.to_string())
            }
            Err(Failure::Unsent(error)) => Err(error.to_string()),
            Err(Failure::Sent(_)) => {
                let (key, write_id) = (OWNERS.to_owned(), self.written.to_string());
                emit(Event::WriteAmbiguous { key, write_id });
                return None;
            }
        };
        match change {
            Ok(store::Change::Made(revision)) => {
                self.written = revision;
                self.stored.clone_from(&tables);
                self.changed = Clock.now();
                self.coordinator.adopt(tables);
                self.publish();
                return Some(revision);
            }
            // Another write was made, perhaps an earlier one of this term without an answer.
            Ok(store::Change::Conflict | store::Change::LeaseEnded) => self.reread().await,
            Err(error) => emit(Event::StoreUnreachable { error }),
        }
        None
    }

    async fn reread(&mut self) {
        match read_tables(&self.state).await {
            Ok((tables, revision)) if revision != self.written => {
                self.written = revision;
                self.stored.clone_from(&tables);
                self.coordinator.adopt(tables);
                self.publish();
            }
            Ok(_) => {}
            Err(error) => emit(Event::StoreUnreachable { error }),
        }
    }

    fn moves(&mut self, now: Stamp) -> Vec<(Arc<str>, Move, &'static str)> {
        let mut moves = Vec::new();
        let Some(configuration) = self.state.configuration() else { return moves };
        let mut reports = self.reports.borrow_mut();
        let registry = self.state.registry.borrow();
        reports.forget(&registry);
        let balance = now >= self.next_balance;
        if balance {
            self.next_balance = now + BALANCE;
        }
        let severed = self.coordinator.severed();
        let usable = |life: &Life| {
            let listed = registry.get(&life.id).is_some_and(|member| member.target.life == *life);
            listed && !self.coordinator.silent(life, now)
        };
        for (service, step) in severed {
            if usable(&step.to) {
                moves.push((service, step, "the connection of the owner's grant is gone"));
            }
        }
        let balance = balance && moves.is_empty();
        let tables = self.coordinator.tables();
        let empty = caraway_fleet::ownership::Table::default();
        let keyed = configuration.services.iter().filter(|(_, service)| service.keyed);
        for (service, _) in keyed {
            let table = tables.get(service).unwrap_or(&empty);
            if table.holdings.is_empty() && now.since(self.started) < GATHER {
                continue;
            }
            let candidates = candidates(service, &registry, &reports.times, &self.coordinator, now);
            let counts: Vec<u32> =
                candidates.iter().map(|c| reports.running(&c.life.id, now)).collect();
            let Reports { demand, shares, .. } = &mut *reports;
            let demands = demand.entry(service.clone()).or_default();
            demands.for_moves.decay(now);
            demands.for_admission.decay(now);
            let demand = &demands.for_moves.lifted(&demands.for_admission);
            let rates = plan::rates(table, &demands.for_admission);
            for (candidate, count) in candidates.iter().zip(counts) {
                let id = &candidate.life.id;
                let rate = rates.get(&candidate.life).copied().unwrap_or(0.0);
                let (time, slots) = (candidate.time, candidate.slots);
                let suggested = admission::share(rate, demand::FOR_ADMISSION, time, slots);
                let share = shares.get(id).copied().unwrap_or(1.0);
                let share = admission::adjust(share, f64::from(count), slots, suggested);
                if share < 1.0 {
                    shares.insert(id.clone(), share);
                } else {
                    shares.remove(id);
                }
            }
            let repairs = plan::repair(table, &candidates, demand);
            if !repairs.is_empty() {
                let repair = |step| (service.clone(), step, "the keys have no usable owner");
                moves.extend(repairs.into_iter().map(repair));
            } else if balance {
                let steps = balance::balance(table, &candidates, demand);
                let step = |step| (service.clone(), step, "the owner is busier than others");
                moves.extend(steps.into_iter().map(step));
            }
        }
        moves
    }

    /// Tells the instances who owns which keys, if that has changed.
    fn publish(&mut self) {
        let owners = |(service, holdings): (Arc<str>, Vec<_>)| (service, Owners::new(&holdings));
        let services: BTreeMap<_, _> = self.coordinator.view().into_iter().map(owners).collect();
        if self.change > 0 && services == self.state.view.borrow().services {
            return;
        }
        self.change += 1;
        let version = Version { term: self.term, change: self.change };
        let coordinator = self.state.settings.name.clone();
        let view = View { version, coordinator, services };
        self.told = Clock.now();
        let change = view.since(&self.state.view.borrow());
        peers::push(&self.state, &change, &mut self.work);
        self.state.own(view);
    }
}

fn candidates(
    service: &Arc<str>,
    registry: &Registry,
    times: &HashMap<Arc<str>, f64>,
    coordinator: &Coordinator,
    now: Stamp,
) -> Vec<Candidate> {
    let usable = registry.members().filter(|member| {
        let target = &member.target;
        target.service == *service
            && !target.draining
            && member.missing.is_none()
            && !coordinator.silent(&target.life, now)
    });
    let known: Vec<f64> = times.values().copied().collect();
    let count = f64::from(u32::try_from(known.len()).unwrap_or(u32::MAX));
    let usual = if known.is_empty() { USUAL_TIME } else { known.iter().sum::<f64>() / count };
    let mut candidates: Vec<Candidate> = usable
        .map(|member| Candidate {
            life: member.target.life.clone(),
            slots: f64::from(member.target.slots),
            time: times.get(&member.target.life.id).copied().unwrap_or(usual),
        })
        .collect();
    candidates.sort_by(|a, b| a.life.cmp(&b.life));
    candidates
}
