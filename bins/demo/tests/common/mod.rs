//! A test harness that runs load on an environment and checks responses and journals at the end.

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

/// Maximum unavailability of a key in milliseconds. It is far above the documented recovery times, because
/// a busy machine delays processes and these tests detect keys that stay unavailable, not slow recovery.
pub const MAX_UNAVAILABLE_MS: f64 = 6000.0;
/// Group whose coordinator and targets are affected by the tests.
pub const GROUP: &str = "libro/d1/0";

/// Maximum number of concurrent environments of a test binary, which limits the load on the machine.
const MAX_ENVIRONMENTS: usize = 2;
static RUNNING: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

struct Permit;

impl Permit {
    fn new() -> Self {
        let running = RUNNING.lock().unwrap();
        let mut running =
            RELEASED.wait_while(running, |running| *running >= MAX_ENVIRONMENTS).unwrap();
        *running += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap() -= 1;
        RELEASED.notify_one();
    }
}

/// An environment and the load that runs on it. The fields are dropped in the order of their declaration.
pub struct Harness {
    load: Option<Run>,
    pub environment: Environment,
    profile: Profile,
    windows: Vec<Window>,
    _permit: Permit,
}

/// Results of a finished load.
pub struct Results {
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

impl Harness {
    /// Starts an environment with two failure domains of three entry instances each.
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

    /// Starts load on all routes. Callers open no connections to the instances in `excluded`.
    pub fn start_load(&mut self, excluded: &[&str]) {
        self.start_load_with(excluded, |_| {});
    }

    pub fn start_load_with(&mut self, excluded: &[&str], change: impl FnOnce(&mut Profile)) {
        let options = traffic::Options {
            arrival: Arrival::Open { rate: 250.0, connections: 200, poisson: true },
            keys: 16,
            excluded_entries: excluded.iter().map(|name| (*name).to_owned()).collect(),
            ..traffic::Options::default()
        };
        self.profile = traffic::profile(&self.environment, &options);
        change(&mut self.profile);
        self.load = Some(Run::start(self.profile.clone()).unwrap());
        sleep_ms(700);
    }

    /// Applies a change and starts a new window for the measurement of unavailability.
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

    /// Stops the load and checks the invariants: no wrong, truncated or malformed response, no order that
    /// ran twice, no refused request that ran, no key with two owners, and every key served again within
    /// [`MAX_UNAVAILABLE_MS`].
    pub fn finish(&mut self) -> Results {
        self.finish_with_min_answered(100)
    }

    /// Like [`Harness::finish`], with the minimum number of answered requests given.
    pub fn finish_with_min_answered(&mut self, min_answered: u64) -> Results {
        let load = self.load.take().unwrap();
        load.stop();
        while !load.finished() {
            sleep_ms(10);
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
        let failed = !report.clean();
        if failed {
            self.environment.keep_directory();
        }
        assert!(report.clean(), "an invariant was violated");
        assert!(report.overall.answered >= min_answered, "too few requests were answered");
        self.check_served();
        for window in &report.windows {
            assert!(
                window.max_ms < MAX_UNAVAILABLE_MS,
                "keys were unavailable for too long after: {}",
                window.label
            );
        }
        Results { report, record, profile: self.profile.clone() }
    }

    /// Checks that all keys are served again: all requests of a round on all routes are answered.
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
            sleep_ms(300);
        }
        panic!("some keys were not served again");
    }

    /// Waits until an instance other than `old` coordinates the group, and returns its name.
    pub fn wait_for_takeover(&mut self, old: &str) -> String {
        let mut coordinator = String::new();
        self.environment
            .wait_until("another coordinator", Duration::from_secs(8), |environment| {
                coordinator = environment.coordinators().remove(GROUP).unwrap_or_default();
                !coordinator.is_empty() && coordinator != old
            })
            .unwrap();
        coordinator
    }

    /// Returns the number of instances that report to coordinate each group.
    pub fn coordinator_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for name in self.environment.names(Kind::Entry) {
            for group in self.environment.held_groups(&name).unwrap_or_default() {
                *counts.entry(group).or_default() += 1;
            }
        }
        counts
    }
}

impl Results {
    /// Returns the number of submissions whose verdict starts with one of the given prefixes.
    pub fn count_verdicts(&self, prefixes: &[&str]) -> u64 {
        let outcomes = self.report.outcomes.iter();
        let matching =
            outcomes.filter(|(name, _)| prefixes.iter().any(|prefix| name.starts_with(prefix)));
        matching.map(|(_, count)| count).sum()
    }
}

pub fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Verdicts of requests that were interrupted or whose outcome is unknown to the caller.
pub const INTERRUPTED_VERDICTS: [&str; 4] =
    ["unknown", "connection lost", "answer broken off", "timed out"];
