//! Quarantine of requests that crash targets.
//!
//! When a target crashes, every request that was in flight to it becomes a suspect. Suspects of the
//! same crash run one at a time, so that another crash is attributed to the request that caused it,
//! and not to requests that happened to share a target with it twice.
//!
//! Requests of the same content can differ in what the content does not cover, such as header fields.
//! A crash is therefore attributed to the caller as well, and a completion clears only what its own
//! caller is suspected of. Addresses of callers may not be stable: once several callers are
//! implicated, the content decides, until a request of the same content by another caller completes.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use caraway_core::name;
use caraway_core::shard;
use caraway_core::time::Stamp;

/// Maximum number of crashes that are kept for a content. Several callers with the crashes after which
/// each is refused fit in.
const MAX_INCIDENTS: usize = 8;

/// Maximum number of callers that are kept for a crash and a content. Two are enough to judge by the
/// content.
const MAX_CALLERS: usize = 4;

/// Difference above which two reports without an incarnation are about different crashes of a
/// target: reports arrive with the delay of the network, and no target restarts this fast.
const REPORT_DELAY: Duration = Duration::from_secs(1);

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

/// Sender of a request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Caller {
    /// The sender is not known, so that only the content identifies the request.
    #[default]
    Unknown,
    /// Address of the client connection's peer, without the port.
    Address(IpAddr),
}

impl From<Option<IpAddr>> for Caller {
    fn from(address: Option<IpAddr>) -> Self {
        address.map_or(Self::Unknown, |address| Self::Address(address.to_canonical()))
    }
}

impl Caller {
    /// Returns the address, if the sender is known.
    pub fn address(self) -> Option<IpAddr> {
        match self {
            Self::Unknown => None,
            Self::Address(address) => Some(address),
        }
    }
}

/// Identity of a request: its content and its sender.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Identity {
    /// Content of the request.
    pub fingerprint: Fingerprint,
    /// Sender of the request.
    pub caller: Caller,
}

impl From<Fingerprint> for Identity {
    fn from(fingerprint: Fingerprint) -> Self {
        Self { fingerprint, caller: Caller::Unknown }
    }
}

/// Phase in which a request was when its target crashed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// Its response was not complete.
    InFlight,
    /// Its response had just been completed. It is suspected of the crash only while no request is
    /// known that was in flight.
    Completed,
}

impl Phase {
    /// Returns the phase as text for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InFlight => "while it ran",
            Self::Completed => "right after it completed",
        }
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
    pub request: Identity,
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

/// A crash with requests of one content in flight.
#[derive(Debug)]
struct Incident {
    crash: Crash,
    at: Stamp,
    /// Phase in which the requests were.
    phase: Phase,
    /// Callers of the requests.
    implicated: Vec<Caller>,
    /// Callers whose requests have completed since.
    cleared: Vec<Caller>,
    /// Whether the content alone may be the cause: no request of the same content by another caller
    /// has completed since.
    by_content: bool,
}

/// Crashes with requests of one content in flight.
#[derive(Debug)]
struct Suspect {
    incidents: Vec<Incident>,
    last_crash: Stamp,
}

impl Incident {
    /// Adds a caller to a known crash, unless the caller has been cleared of it.
    fn implicate(&mut self, caller: Caller, crash: &Crash, at: Stamp) {
        let unknown = self.crash.incarnation == 0 || crash.incarnation == 0;
        self.crash.incarnation = self.crash.incarnation.max(crash.incarnation);
        if unknown && at.since(self.at) > REPORT_DELAY {
            self.cleared.clear();
            self.by_content = true;
        }
        self.at = self.at.max(at);
        let known = self.implicated.contains(&caller) || self.cleared.contains(&caller);
        if !known && self.implicated.len() < MAX_CALLERS {
            self.implicated.push(caller);
        }
    }
}

impl Suspect {
    /// Returns the crashes that count against a caller.
    fn counting(&self, caller: Caller) -> impl Iterator<Item = &Incident> {
        let by_content = self.incidents.iter().filter(|incident| incident.by_content);
        let callers: BTreeSet<Caller> =
            by_content.flat_map(|incident| incident.implicated.iter().copied()).collect();
        let several = callers.len() > 1 || callers.contains(&Caller::Unknown);
        let counts = move |incident: &&Incident| {
            let content = incident.by_content && several || caller == Caller::Unknown;
            !incident.implicated.is_empty() && (content || incident.implicated.contains(&caller))
        };
        self.incidents.iter().filter(counts)
    }

    /// Clears a caller of all crashes, and the content of those of other callers. Returns true if
    /// anything changed.
    fn clear(&mut self, caller: Caller) -> bool {
        let mut changed = false;
        for incident in &mut self.incidents {
            if let Some(index) = incident.implicated.iter().position(|known| *known == caller) {
                incident.implicated.remove(index);
                if incident.cleared.len() < MAX_CALLERS {
                    incident.cleared.push(caller);
                }
                changed = true;
            } else {
                changed |= std::mem::take(&mut incident.by_content);
            }
        }
        changed
    }

    /// Makes room for one crash: removes the oldest one that implicates nobody, or else the oldest.
    fn make_room(&mut self) {
        if self.incidents.len() < MAX_INCIDENTS {
            return;
        }
        let ranked =
            |(_, incident): &(usize, &Incident)| (!incident.implicated.is_empty(), incident.at);
        let oldest = self.incidents.iter().enumerate().min_by_key(ranked);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.incidents.remove(index);
        }
    }
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

    /// Returns whether a request was in flight during too many crashes.
    pub fn refuses(&self, request: Identity, now: Stamp) -> bool {
        let suspect = self.suspects.get(&request.fingerprint);
        suspect.is_some_and(|suspect| {
            now.since(suspect.last_crash) < self.options.retention
                && suspect.counting(request.caller).count() >= self.options.max_crashes
        })
    }

    /// Decides whether a request may run now.
    pub fn admit(&mut self, request: impl Into<Identity>, now: Stamp) -> Verdict {
        let Identity { fingerprint, caller } = request.into();
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Verdict::Run };
        if now.since(suspect.last_crash) >= self.options.retention {
            self.suspects.remove(&fingerprint);
            return Verdict::Run;
        }
        if suspect.counting(caller).count() >= self.options.max_crashes {
            return Verdict::Refuse;
        }
        let first = suspect.counting(caller).next();
        let Some(crash) = first.map(|incident| &incident.crash) else { return Verdict::Run };
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

    /// Records that a request completed. Clears its caller of the crashes with this content, and the
    /// content of those of other callers, unless the caller is to be refused. Returns true if
    /// anything changed.
    pub fn record_completion(&mut self, request: impl Into<Identity>) -> bool {
        let Identity { fingerprint, caller } = request.into();
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        let below_limit = suspect.counting(caller).count() < self.options.max_crashes;
        below_limit && suspect.clear(caller)
    }

    /// Records that a target crashed, or is believed to have crashed, with a request in flight.
    pub fn record_crash(&mut self, request: impl Into<Identity>, crash: Crash, now: Stamp) {
        self.merge(Report { request: request.into(), crash, age: Duration::ZERO }, now);
    }

    /// Merges a report of another instance. A caller that was cleared of the crash stays so.
    pub fn merge(&mut self, report: Report, now: Stamp) {
        self.merge_in_phase(report, Phase::InFlight, now);
    }

    /// Merges a report about a request that was in some phase when the target crashed.
    pub fn merge_in_phase(&mut self, report: Report, phase: Phase, now: Stamp) {
        let Report { request: Identity { fingerprint, caller }, crash, age } = report;
        if age >= self.options.retention {
            return;
        }
        match phase {
            Phase::InFlight => self.acquit_completed(&crash),
            Phase::Completed if self.is_explained(&crash) => return,
            Phase::Completed => {}
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let at = now - age;
        let new = || Suspect { incidents: Vec::new(), last_crash: at };
        let suspect = self.suspects.entry(fingerprint).or_insert_with(new);
        suspect.last_crash = suspect.last_crash.max(at);
        let known = suspect.incidents.iter_mut().find(|known| known.crash.may_be_same(&crash));
        if let Some(known) = known {
            known.implicate(caller, &crash, at);
            return;
        }
        suspect.make_room();
        let (implicated, cleared) = (vec![caller], Vec::new());
        // Requests of other callers are in flight at most targets, so that a completion of one of
        // them says nothing about the content.
        let by_content = phase == Phase::InFlight;
        suspect.incidents.push(Incident { crash, at, phase, implicated, cleared, by_content });
    }

    /// Returns whether a request is known that was in flight when a target crashed.
    fn is_explained(&self, crash: &Crash) -> bool {
        let mut incidents = self.suspects.values().flat_map(|suspect| &suspect.incidents);
        incidents.any(|known| known.phase == Phase::InFlight && known.crash.may_be_same(crash))
    }

    /// Removes the incidents of requests that had completed before a crash.
    fn acquit_completed(&mut self, crash: &Crash) {
        let acquitted = |incident: &Incident| {
            incident.phase == Phase::Completed && incident.crash.may_be_same(crash)
        };
        self.suspects.retain(|_, suspect| {
            let before = suspect.incidents.len();
            suspect.incidents.retain(|incident| !acquitted(incident));
            suspect.incidents.len() == before || !suspect.incidents.is_empty()
        });
    }

    /// Removes the reports of a crash whose incarnation turned out to be alive.
    pub fn retract(&mut self, alive: &Crash) {
        for suspect in self.suspects.values_mut() {
            suspect.incidents.retain(|incident| !incident.crash.may_be_same(alive));
        }
        self.suspects.retain(|_, suspect| !suspect.incidents.is_empty());
    }

    /// Returns all reports, to be sent to other instances.
    pub fn reports(&self, now: Stamp) -> Vec<Report> {
        let mut reports = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            for Incident { crash, at, implicated, .. } in &suspect.incidents {
                for caller in implicated {
                    let request = Identity { fingerprint: *fingerprint, caller: *caller };
                    reports.push(Report { request, crash: crash.clone(), age: now.since(*at) });
                }
            }
        }
        reports
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
