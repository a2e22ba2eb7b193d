//! The control plane of an entry instance: one actor on the control thread.
//!
//! It receives messages, turns the timer's parts into work on its tables, and talks to the data path through lanes
//! and the directory. Its concerns are in the modules below it, each an `impl` of [`Control`].

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
use crate::message::Message;
use crate::message::Outbox;
use crate::peers::Caller;
use crate::storage::Storage;
use crate::timer::Part;
use crate::timer::Service;
use caraway_entry::ledgers::Copies;

pub mod balancing;
mod configuration;
mod explain;
mod groups;
mod membership;
mod replication;
mod terms;

/// Time between two turns of the control loop.
const TURN: Duration = Duration::from_millis(10);

/// A turn that comes this late shows that the process did not run and may have lost its terms.
const PAUSE: Duration = Duration::from_millis(250);

/// Periods of the parts.
const PERIODS: &[(Part, Duration)] = &[
    (Part::Groups, TURN),
    (Part::Heartbeat, Duration::from_millis(100)),
    (Part::Survey, Duration::from_millis(500)),
    (Part::Roster, Duration::from_millis(20)),
    (Part::Directory, TURN),
    (Part::Balance, Duration::from_millis(500)),
    (Part::Ledgers, Duration::from_millis(250)),
    (Part::Discovery, Duration::from_secs(5)),
    (Part::Metrics, Duration::from_secs(1)),
];

/// What the control plane is made from.
pub struct Parts {
    /// The own process and its addresses.
    pub me: Member,
    /// Data path.
    pub router: Arc<Router>,
    /// Copies of other coordinators' ledgers.
    pub copies: Copies,
    /// Metrics of the control plane.
    pub metrics: Arc<Metrics>,
    /// Calls to other instances.
    pub caller: Caller,
    /// Calls to the store.
    pub storage: Storage,
    /// Runtime and metrics of the target lines.
    pub runtime: crate::target::Shared,
    /// Own messages.
    pub outbox: Outbox,
    /// Told when a planned stop begins.
    pub leaving: tokio::sync::watch::Sender<bool>,
    /// Told when a planned stop has handed everything over.
    pub stopped: tokio::sync::watch::Sender<bool>,
}

/// The control plane.
pub struct Control {
    parts: Parts,
    clock: Clock,
    timer: Service,
    last_turn: Stamp,
    roster: Roster,
    directory: Directory,
    plan: Option<Arc<Plan>>,
    document: Option<(u64, String)>,
    rejected_version: u64,
    coordinated: BTreeMap<name::Group, Coordination>,
    /// The domain record as last seen, with its revision.
    record: Option<(u64, caraway_store::record::Domain)>,
    store: StoreView,
    beating: BTreeSet<std::net::SocketAddr>,
    survey_turn: usize,
    known_alive: BTreeSet<Process>,
    leaving: BTreeSet<String>,
    gone: BTreeSet<String>,
    dirty: bool,
    published: Stamp,
    next_check: Stamp,
    stopping: Option<Stamp>,
    last_handover: Stamp,
    /// True once the own process is no longer listed, at the end of a planned stop.
    left: bool,
    started: Stamp,
}

/// What is known about the store.
#[derive(Debug, Default)]
struct StoreView {
    reachable: bool,
    last_ok: Option<Stamp>,
    changing: bool,
    next_change: Stamp,
}

impl Control {
    /// Starts the control plane.
    pub fn init(cx: CX![], parts: Parts) -> Option<Self> {
        let clock = Clock;
        let now = clock.now();
        let mut timer = Service::new();
        for (part, period) in PERIODS {
            timer.subscribe(*part, *period, now);
        }
        let mut directory = Directory::new();
        directory.add_member(parts.me.clone());
        parts.storage.read_document();
        parts.storage.read_domain(parts.me.domain.clone());
        after!(TURN, [cx], turn());
        Some(Self {
            roster: Roster::new(parts.me.process.clone(), now),
            parts,
            clock,
            timer,
            last_turn: now,
            directory,
            plan: None,
            document: None,
            rejected_version: 0,
            coordinated: BTreeMap::new(),
            record: None,
            store: StoreView::default(),
            beating: BTreeSet::new(),
            survey_turn: 0,
            known_alive: BTreeSet::new(),
            leaving: BTreeSet::new(),
            gone: BTreeSet::new(),
            dirty: true,
            published: now,
            next_check: now,
            stopping: None,
            last_handover: now,
            left: false,
            started: now,
        })
    }

    /// Runs the parts that are due.
    pub fn turn(&mut self, cx: CX![]) {
        let now = self.clock.now();
        self.notice_pause(now);
        for part in self.timer.due(now) {
            match part {
                Part::Groups => self.turn_groups(now),
                Part::Heartbeat => self.send_heartbeats(now),
                Part::Survey => self.send_survey(now),
                Part::Roster => self.carry_out_intents(now),
                Part::Directory => self.publish(now),
                Part::Balance => self.balance(now),
                Part::Ledgers => self.turn_ledgers(now),
                Part::Discovery => self.discover(now),
                Part::Metrics => self.update_metrics(now),
            }
        }
        if self.is_stopped(now) {
            self.parts.stopped.send_replace(true);
            stop!(cx);
            return;
        }
        after!(TURN, [cx], turn());
    }

    /// Handles a message.
    pub fn receive(&mut self, _cx: CX![], message: Message) {
        let now = self.clock.now();
        self.notice_pause(now);
        match message {
            Message::Target(answer) => self.take_target_answer(answer, now),
            Message::Beat { beat, reply } => {
                self.take_beat(&beat, now);
                // The sender has gone away if nobody takes the answer.
                let _ = reply.send(self.own_beat(now));
            }
            Message::BeatAnswer(answer) => self.take_beat_answer(answer, now),
            Message::History(history) => self.take_history(history, now),
            Message::Outcomes { group, entries } => self.take_outcomes(&group, entries, now),
            Message::Copied { group, to, stored } => self.take_copied(&group, to, stored),
            Message::Handover { request, reply } => {
                let answer = self.take_handover(&request, now);
                let _ = reply.send(answer);
            }
            Message::DocumentWanted { reply } => {
                let _ = reply.send(self.document.clone());
            }
            Message::Document { version, text } => self.take_document(version, text, now),
            Message::Store(done) => self.take_store(done, now),
            Message::Replicate(job) => self.replicate(job, now),
            Message::Report(event) => self.take_report(event, now),
            Message::Admin { question, reply } => {
                let _ = reply.send(self.answer(&question, now));
            }
            Message::Stop { signal } => self.begin_stop(signal, now),
        }
    }

    fn notice_pause(&mut self, now: Stamp) {
        let pause = now.since(self.last_turn);
        self.last_turn = now;
        if pause < PAUSE {
            return;
        }
        let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        caraway_telemetry::event::emit(caraway_telemetry::event::Event::ProcessPaused { pause_ms });
        self.roster.resume(now);
        self.step_all(&Event::Paused, now);
        self.parts.storage.read_domain(self.parts.me.domain.clone());
    }
}
