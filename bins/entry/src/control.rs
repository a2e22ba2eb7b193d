//! Control plane of an entry instance: an actor on the control thread.
//!
//! The actor handles messages and runs periodic tasks. It controls the data path through the
//! admission controllers and the published directory. Each submodule implements one concern as an
//! `impl` of [`Control`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stakker::CX;
use stakker::after;
use stakker::stop;

use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_document::plan::Plan;
use caraway_ownership::event::Event;
use caraway_ownership::roster::Process;
use caraway_ownership::roster::Roster;
use caraway_relay::router::Router;
use caraway_telemetry::metric::Metrics;

use crate::coordination::Coordination;
use crate::directory::Directory;
use crate::directory::Member;
use crate::message::Mailbox;
use crate::message::Message;
use crate::peers::Client;
use crate::storage::Storage;
use crate::timer::Scheduler;
use crate::timer::Task;
use caraway_entry::ledgers::Copies;

pub mod balancing;
mod configuration;
mod explain;
mod groups;
mod membership;
mod replication;
mod terms;

/// Period of the control loop.
const TICK: Duration = Duration::from_millis(10);

/// A gap of this length between two ticks counts as a pause of the process, during which its terms
/// may have ended.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);

/// Periods of the tasks.
const PERIODS: &[(Task, Duration)] = &[
    (Task::Groups, TICK),
    (Task::Heartbeat, Duration::from_millis(100)),
    (Task::CrossDomainHeartbeat, Duration::from_millis(500)),
    (Task::Roster, Duration::from_millis(20)),
    (Task::Directory, TICK),
    (Task::Balance, Duration::from_millis(500)),
    (Task::Ledgers, Duration::from_millis(250)),
    (Task::Discovery, Duration::from_secs(5)),
    (Task::Metrics, Duration::from_secs(1)),
];

/// Dependencies of the control plane.
pub struct Context {
    /// Process and addresses of this instance.
    pub me: Member,
    /// Data path.
    pub router: Arc<Router>,
    /// Copies of the ledgers of other coordinators.
    pub copies: Copies,
    /// Metrics of the control plane.
    pub metrics: Arc<Metrics>,
    /// Client of the other entry instances.
    pub peers: Client,
    /// Client of the store.
    pub storage: Storage,
    /// Runtime and metrics of the tasks that call targets.
    pub targets: crate::target::Context,
    /// Mailbox of the control thread.
    pub mailbox: Mailbox,
    /// Set to true when a planned stop begins.
    pub leaving: tokio::sync::watch::Sender<bool>,
    /// Set to true when a planned stop has handed over all groups.
    pub stopped: tokio::sync::watch::Sender<bool>,
}

/// The control plane.
pub struct Control {
    context: Context,
    clock: Clock,
    scheduler: Scheduler,
    last_tick: Stamp,
    roster: Roster,
    directory: Directory,
    plan: Option<Arc<Plan>>,
    document: Option<(u64, String)>,
    rejected_version: u64,
    coordinated: BTreeMap<name::Group, Coordination>,
    /// Latest known domain record with its revision.
    record: Option<(u64, caraway_store::record::Domain)>,
    store: StoreState,
    heartbeats_in_flight: BTreeSet<std::net::SocketAddr>,
    cross_domain_round: usize,
    known_alive: BTreeSet<Process>,
    leaving: BTreeSet<String>,
    gone: BTreeSet<String>,
    dirty: bool,
    last_published: Stamp,
    next_term_check: Stamp,
    stopping: Option<Stamp>,
    last_handover: Stamp,
    /// True once the domain record no longer lists this process, at the end of a planned stop.
    deregistered: bool,
    started_at: Stamp,
}

/// State of the store connection.
#[derive(Debug, Default)]
struct StoreState {
    reachable: bool,
    last_response: Option<Stamp>,
    change_in_flight: bool,
    next_change_at: Stamp,
}

impl Control {
    /// Initializes the control plane and schedules its first tick.
    pub fn init(cx: CX![], context: Context) -> Option<Self> {
        let clock = Clock;
        let now = clock.now();
        let mut scheduler = Scheduler::new();
        for (task, period) in PERIODS {
            scheduler.schedule(*task, *period, now);
        }
        let mut directory = Directory::new();
        directory.add_member(context.me.clone());
        context.storage.read_document();
        context.storage.read_domain(context.me.domain.clone());
        after!(TICK, [cx], tick());
        Some(Self {
            roster: Roster::new(context.me.process.clone(), now),
            context,
            clock,
            scheduler,
            last_tick: now,
            directory,
            plan: None,
            document: None,
            rejected_version: 0,
            coordinated: BTreeMap::new(),
            record: None,
            store: StoreState::default(),
            heartbeats_in_flight: BTreeSet::new(),
            cross_domain_round: 0,
            known_alive: BTreeSet::new(),
            leaving: BTreeSet::new(),
            gone: BTreeSet::new(),
            dirty: true,
            last_published: now,
            next_term_check: now,
            stopping: None,
            last_handover: now,
            deregistered: false,
            started_at: now,
        })
    }

    /// Runs the tasks that are due.
    pub fn tick(&mut self, cx: CX![]) {
        let now = self.clock.now();
        self.detect_pause(now);
        for task in self.scheduler.due(now) {
            match task {
                Task::Groups => self.tick_groups(now),
                Task::Heartbeat => self.send_heartbeats(now),
                Task::CrossDomainHeartbeat => self.send_cross_domain_heartbeats(now),
                Task::Roster => self.execute_intents(now),
                Task::Directory => self.publish(now),
                Task::Balance => self.balance(now),
                Task::Ledgers => self.sync_ledgers(now),
                Task::Discovery => self.discover(now),
                Task::Metrics => self.update_metrics(now),
            }
        }
        if self.is_stopped(now) {
            self.context.stopped.send_replace(true);
            stop!(cx);
            return;
        }
        after!(TICK, [cx], tick());
    }

    /// Handles one message of the mailbox.
    pub fn receive(&mut self, _cx: CX![], message: Message) {
        let now = self.clock.now();
        self.detect_pause(now);
        match message {
            Message::Target(result) => self.handle_command_result(result, now),
            Message::Heartbeat { heartbeat, reply } => {
                self.handle_heartbeat(&heartbeat, now);
                // The receiver is closed if the sender of the heartbeat has disconnected.
                let _ = reply.send(self.own_heartbeat(now));
            }
            Message::HeartbeatResult(result) => self.handle_heartbeat_result(result, now),
            Message::History(history) => self.handle_history(history, now),
            Message::Outcomes { group, entries } => self.import_outcomes(&group, entries, now),
            Message::Copied { group, to, stored } => self.handle_copied(&group, to, stored),
            Message::Handover { request, reply } => {
                let answer = self.handle_handover(&request, now);
                let _ = reply.send(answer);
            }
            Message::DocumentRequest { reply } => {
                let _ = reply.send(self.document.clone());
            }
            Message::Document { version, text } => self.apply_document(version, text, now),
            Message::Store(response) => self.handle_store_response(response, now),
            Message::Replicate(job) => self.replicate(job, now),
            Message::Report(event) => self.handle_report(event, now),
            Message::Admin { query, reply } => {
                let _ = reply.send(self.answer_query(&query, now));
            }
            Message::Stop { signal } => self.begin_stop(signal, now),
        }
    }

    fn detect_pause(&mut self, now: Stamp) {
        let pause = now.since(self.last_tick);
        self.last_tick = now;
        if pause < PAUSE_THRESHOLD {
            return;
        }
        let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        caraway_telemetry::event::emit(caraway_telemetry::event::Event::ProcessPaused { pause_ms });
        self.roster.resume(now);
        self.step_all(&Event::Paused, now);
        self.context.storage.read_domain(self.context.me.domain.clone());
    }
}
