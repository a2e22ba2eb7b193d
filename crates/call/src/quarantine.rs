//! Quarantine of requests that crash targets.
//!
//! When a target crashes, every request that was in flight to it becomes a suspect. Suspects of the
//! same crash run one at a time, so that another crash is attributed to the request that caused it,
//! and not to requests that happened to share a target with it twice.

use std::collections::HashMap;
use std::time::Duration;

use caraway_core::name;
use caraway_core::shard;
use caraway_core::time::Stamp;

/// Settings of a quarantine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of crashes after which a request is refused.
    pub max_crashes: usize,
    /// Maximum number of suspects.
    pub max_suspects: usize,
    /// Time after its last crash for which a suspect is kept.
    pub retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_crashes: 2, max_suspects: 10_000, retention: Duration::from_secs(600) }
    }
}

/// Identity of the content of a request, independent of its sender.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request. A body that is not buffered is ignored.
    pub fn new(method: &str, path: &str, body: Option<&[u8]>) -> Self {
        Self::of_hash(method, path, body.map(shard::hash))
    }

    /// Computes the fingerprint of a request from the hash of its body.
    pub fn of_hash(method: &str, path: &str, body: Option<u64>) -> Self {
        let mut text = Vec::with_capacity(method.len() + path.len() + 18);
        text.extend_from_slice(method.as_bytes());
        text.push(0);
        text.extend_from_slice(path.as_bytes());
        if let Some(hash) = body {
            text.push(0);
            text.extend_from_slice(&hash.to_be_bytes());
        }
        Self(shard::hash(&text))
    }
}

/// A crash of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Crash {
    /// Target that crashed.
    pub target: name::Target,
    /// Incarnation that crashed, or zero if unknown.
    pub incarnation: u64,
}

impl Crash {
    /// Returns true if two reports may be about the same crash: the same target, and the same or an
    /// unknown incarnation.
    fn may_be_same(&self, other: &Self) -> bool {
        let incarnations = [self.incarnation, other.incarnation];
        let equal = self.incarnation == other.incarnation || incarnations.contains(&0);
        self.target == other.target && equal
    }
}

/// A crash and a request that was in flight, as exchanged between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Request that was in flight.
    pub fingerprint: Fingerprint,
    /// The crash.
    pub crash: Crash,
    /// Time since the crash.
    pub age: Duration,
}

/// Whether a request may run now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is not a suspect.
    Run,
    /// It is a suspect and runs as a probe; call [`Quarantine::end_probe`] when it ends.
    Probe,
    /// Another suspect of the same crash is running; ask again when it ends.
    Wait,
    /// It was in flight during too many crashes.
    Refuse,
}

#[derive(Debug)]
struct Suspect {
    crashes: Vec<Crash>,
    last_crash: Stamp,
}

/// The suspects known to one instance.
#[derive(Debug)]
pub struct Quarantine {
    options: Options,
    suspects: HashMap<Fingerprint, Suspect>,
    /// Suspects that are running as probes, each with its first recorded crash.
    probes: HashMap<Fingerprint, Crash>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(options: Options) -> Self {
        Self { options, suspects: HashMap::new(), probes: HashMap::new() }
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns true if there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Decides whether a request may run now.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: Stamp) -> Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Verdict::Run };
        if now.since(suspect.last_crash) >= self.options.retention {
            self.suspects.remove(&fingerprint);
            return Verdict::Run;
        }
        if suspect.crashes.len() >= self.options.max_crashes {
            return Verdict::Refuse;
        }
        let Some(crash) = suspect.crashes.first() else { return Verdict::Run };
        let being_probed = self.probes.values().any(|running| running.may_be_same(crash));
        if being_probed || self.probes.contains_key(&fingerprint) {
            return Verdict::Wait;
        }
        self.probes.insert(fingerprint, crash.clone());
        Verdict::Probe
    }

    /// Ends a probe, whatever its outcome.
    pub fn end_probe(&mut self, fingerprint: Fingerprint) {
        self.probes.remove(&fingerprint);
    }

    /// Records that a request completed. Clears a suspect with too few crashes to be refused, and returns
    /// true if it did.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) -> bool {
        let below_limit = |suspect: &Suspect| suspect.crashes.len() < self.options.max_crashes;
        let cleared = self.suspects.get(&fingerprint).is_some_and(below_limit);
        if cleared {
            self.suspects.remove(&fingerprint);
        }
        cleared
    }

    /// Records that a target crashed, or is believed to have crashed, with a request in flight.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: Crash, now: Stamp) {
        self.merge(Report { fingerprint, crash, age: Duration::ZERO }, now);
    }

    /// Merges a report of another instance.
    pub fn merge(&mut self, report: Report, now: Stamp) {
        let Report { fingerprint, crash, age } = report;
        if age >= self.options.retention {
            return;
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let at = now - age;
        let new = || Suspect { crashes: Vec::new(), last_crash: at };
        let suspect = self.suspects.entry(fingerprint).or_insert_with(new);
        let known = suspect.crashes.iter_mut().find(|known| known.may_be_same(&crash));
        if let Some(known) = known {
            known.incarnation = known.incarnation.max(crash.incarnation);
        } else if suspect.crashes.len() < self.options.max_crashes {
            suspect.crashes.push(crash);
        }
        suspect.last_crash = suspect.last_crash.max(at);
    }

    /// Removes the reports of a crash whose incarnation turned out to be alive.
    pub fn retract(&mut self, alive: &Crash) {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| !crash.may_be_same(alive));
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
    }

    /// Returns all reports, to be sent to other instances.
    pub fn reports(&self, now: Stamp) -> Vec<Report> {
        let reports_of = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            let (fingerprint, age) = (*fingerprint, now.since(suspect.last_crash));
            let report = move |crash: &Crash| Report { fingerprint, crash: crash.clone(), age };
            suspect.crashes.iter().map(report).collect::<Vec<_>>()
        };
        self.suspects.iter().flat_map(reports_of).collect()
    }

    /// Removes the suspects whose retention has passed.
    pub fn expire(&mut self, now: Stamp) {
        let retention = self.options.retention;
        self.suspects.retain(|_, suspect| now.since(suspect.last_crash) < retention);
    }

    /// Makes room for one suspect: removes the expired ones, or else the one with the oldest crash.
    fn make_room(&mut self, now: Stamp) {
        if self.suspects.len() < self.options.max_suspects {
            return;
        }
        self.expire(now);
        if self.suspects.len() < self.options.max_suspects {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_crash);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}
