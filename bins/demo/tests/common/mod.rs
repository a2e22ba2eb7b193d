//! An environment under load whose answers and journals are checked at the end.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use caraway_demo::builder::Builder;
use caraway_demo::environment::Environment;
use caraway_demo::environment::Kind;
use caraway_demo::fault::Action;
use caraway_demo::fixture;
use caraway_demo::fixture::Size;
use caraway_demo::session::UNAVAILABLE_LATENCY_MS;
use caraway_demo::traffic;
use caraway_load::journal;
use caraway_load::outage::Window;
use caraway_load::profile::Arrival;
use caraway_load::profile::Profile;
use caraway_load::report::Report;
use caraway_load::run::Run;
use caraway_load::sample::Record;

/// Outer limit of the unavailable time of a key, far above the stated times: a busy machine delays
/// processes, and these tests guard against keys that stay unavailable, not against slow ones.
pub const OUTER_LIMIT_MS: f64 = 6000.0;
/// Group whose coordinator and targets the tests act on.
pub const GROUP: &str = "libro/d1/0";

/// Environments that run at the same time, so that a test binary does not overload the machine.
const PERMITS: usize = 2;
static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

struct Permit;

impl Permit {
    fn new() -> Self {
        let running = RUNNING.lock().unwrap();
        let mut running = ENDED.wait_while(running, |running| *running >= PERMITS).unwrap();
        *running += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap() -= 1;
        ENDED.notify_one();
    }
}

/// An environment, and load while it runs. The fields end in the order of their declaration.
pub struct Scene {
    load: Option<Run>,
    pub environment: Environment,
    profile: Profile,
    windows: Vec<Window>,
    _permit: Permit,
}

/// What a scene gave.
pub struct Ending {
    pub report: Report,
    pub record: Record,
    pub profile: Profile,
}

pub fn environment(entries: usize, size: &Size, service_ms: u64) -> Environment {
    let mut builder = Builder::new(fixture::document(size).unwrap());
    builder.entries_per_domain = entries;
    builder.service_ms = service_ms;
    builder.start().unwrap()
}

impl Scene {
    /// Starts two failure domains with three entry instances each.
    pub fn new() -> Self {
        Self::with(3, &Size::default(), 2)
    }

    pub fn with(entries: usize, size: &Size, service_ms: u64) -> Self {
        let permit = Permit::new();
        let mut environment = environment(entries, size, service_ms);
        environment.wait_until_settled(Duration::from_secs(10)).unwrap();
        let profile = traffic::profile(&environment, &traffic::Options::default());
        Self { load: None, environment, profile, windows: Vec::new(), _permit: permit }
    }

    /// Starts load on all routes. Callers open no connection to the instances of `except`.
    pub fn load(&mut self, except: &[&str]) {
        self.load_with(except, |_| {});
    }

    pub fn load_with(&mut self, except: &[&str], change: impl FnOnce(&mut Profile)) {
        let options = traffic::Options {
            arrival: Arrival::Open { rate: 250.0, connections: 200, poisson: true },
            keys: 16,
            excluded_entries: except.iter().map(|name| (*name).to_owned()).collect(),
            ..traffic::Options::default()
        };
        self.profile = traffic::profile(&self.environment, &options);
        change(&mut self.profile);
        self.load = Some(Run::start(self.profile.clone()).unwrap());
        pause(700);
    }

    /// Applies a change and starts a window for unavailable times.
    pub fn apply(&mut self, action: Action) {
        let now = self.load.as_ref().map_or(0, Run::now_us);
        if let Some(window) = self.windows.last_mut() {
            window.to_us = now;
        }
        let (label, except) = (action.to_string(), BTreeSet::new());
        self.windows.push(Window { label, from_us: now, to_us: u64::MAX, except });
        action.apply(&mut self.environment).unwrap();
    }

    pub fn coordinator(&self) -> String {
        self.environment.coordinator(GROUP).unwrap()
    }

    /// Returns the name of a target of the group.
    pub fn target(&self, index: usize) -> String {
        let groups = &self.environment.plan().groups;
        let group = groups.iter().find(|group| group.name.as_str() == GROUP).unwrap();
        group.targets[index].name.to_string()
    }

    /// Ends the load and checks what every scene must keep: no wrong, truncated or malformed answer, no
    /// order that ran twice, no refused request that ran, no two owners of a key, and every key served
    /// again, within the outer limit.
    pub fn finish(&mut self) -> Ending {
        self.finish_idle(100)
    }

    /// As [`Scene::finish`], for load with fewer requests.
    pub fn finish_idle(&mut self, least: u64) -> Ending {
        let load = self.load.take().unwrap();
        load.stop();
        while !load.finished() {
            pause(10);
        }
        let end = load.now_us();
        if let Some(window) = self.windows.last_mut() {
            window.to_us = end;
        }
        let record = load.finish().unwrap();
        let journals = self.environment.journals().unwrap();
        let findings = journal::compare(&self.profile, &record, &journals);
        let report = Report::new(
            &self.profile,
            &record,
            &self.windows,
            UNAVAILABLE_LATENCY_MS,
            Some(findings),
        );
        println!("{report}");
        let keep = !report.clean();
        if keep {
            self.environment.keep_directory();
        }
        assert!(report.clean(), "an invariant was violated");
        assert!(report.overall.answered >= least, "hardly anything was answered");
        self.check_served();
        for window in &report.windows {
            assert!(window.max_ms < OUTER_LIMIT_MS, "{} was unavailable too long", window.label);
        }
        Ending { report, record, profile: self.profile.clone() }
    }

    /// Checks that every key is served again: a round of requests on all routes is answered in full.
    fn check_served(&mut self) {
        let mut profile = self.profile.clone();
        profile.arrival = Arrival::Closed { connections: 16 };
        profile.requests = 300;
        profile.timeout_ms = 4000;
        for kind in &mut profile.kinds {
            (kind.answer_bytes, kind.service_ms) = (Some(600), None);
        }
        for round in 0..10 {
            profile.run = format!("after{round}");
            let record = caraway_load::run::run_to_completion(profile.clone()).unwrap();
            if record.samples.iter().all(|sample| sample.verdict.answered()) {
                return;
            }
            pause(300);
        }
        panic!("some keys are not served again");
    }

    /// Waits until another instance than `old` coordinates the group.
    pub fn wait_for_takeover(&mut self, old: &str) -> String {
        let mut holder = String::new();
        self.environment
            .wait_until("another coordinator", Duration::from_secs(8), |environment| {
                holder = environment.coordinators().remove(GROUP).unwrap_or_default();
                !holder.is_empty() && holder != old
            })
            .unwrap();
        holder
    }

    /// Returns the number of instances that say that they coordinate each group.
    pub fn holders(&self) -> BTreeMap<String, usize> {
        let mut holders = BTreeMap::new();
        for name in self.environment.names(Kind::Entry) {
            for group in self.environment.held_groups(&name).unwrap_or_default() {
                *holders.entry(group).or_default() += 1;
            }
        }
        holders
    }
}

impl Ending {
    /// Returns the number of submissions whose verdict starts with one of the given names.
    pub fn count(&self, names: &[&str]) -> u64 {
        let outcomes = self.report.outcomes.iter();
        let matching = outcomes.filter(|(name, _)| names.iter().any(|one| name.starts_with(one)));
        matching.map(|(_, count)| count).sum()
    }
}

pub fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Verdicts of callers whose request was cut off or whose outcome they do not know.
pub const CUT_OFF: [&str; 4] = ["unknown", "connection lost", "answer broken off", "timed out"];
