//! The processes and stand-ins of a run, and the faults on them.

use std::io;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::check::Notice;
use crate::check::Record;
use crate::check::Stop;
use crate::check::Version;
use crate::plan::Fault;
use crate::plan::Size;
use caraway_production::caller::Caller;
use caraway_production::instance::Instance;
use caraway_production::proxy::Link;
use caraway_production::proxy::Proxy;
use caraway_production::store::Mode;
use caraway_production::store::Store;
use caraway_production::target::FIRST_INCARNATION;
use caraway_production::target::Journal;
use caraway_production::target::Target;

/// Longest time that a planned stop takes: the grace time of the settings.
const GRACE: Duration = Duration::from_secs(6);

/// Time for a look whether a process has ended.
const LOOK: Duration = Duration::from_millis(1);

/// A target with the link on which instances reach it.
#[derive(Debug)]
struct Place {
    id: String,
    service: &'static str,
    life: u64,
    target: Target,
    link: Proxy,
    up: bool,
}

/// A place among the instances.
#[derive(Debug)]
struct Seat {
    instance: Instance,
    link: Proxy,
    /// When it was told to stop, while it has not ended.
    stopping: Option<Instant>,
    paused: bool,
}

impl Seat {
    fn ended(&mut self) -> bool {
        self.instance.wait(LOOK).is_some()
    }

    fn signal(&mut self, name: &str) {
        if !self.ended() {
            self.instance.signal(name);
        }
    }
}

/// Everything that runs.
#[derive(Debug)]
pub struct Cluster {
    store: Store,
    journal: Journal,
    places: Vec<Place>,
    seats: Vec<Seat>,
    version: u64,
    /// When something happened that is not planned work.
    disturbed: Instant,
    /// What was seen, but for the calls and the runs.
    pub record: Record,
}

/// Returns a configuration.
fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "prefix": format!("/{name}/"), "route_type": kind, "timeout_ms": 2000,
            "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2,
        })
    };
    json!({
        "version": version,
        "services": [
            { "name": "keyed", "max_connections": 200, "sharded": true, "warm_s": 1.0 },
            { "name": "pooled", "max_connections": 200 },
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 1000, "idle_timeout_ms": 3000,
        },
        "virtual_hosts": [{ "hostname": "shop.example", "paths": [
            route("read", "idempotent", "pooled"),
            route("order", "non_idempotent", "pooled"),
            route("key", "idempotent", "keyed"),
        ]}],
    })
}

impl Cluster {
    /// Starts the stand-ins and the processes of `program`.
    ///
    /// # Errors
    ///
    /// Fails if there is no port or a process cannot be started.
    pub fn start(program: &Path, size: &Size) -> io::Result<Self> {
        let store = Store::start()?;
        store.put("op/config", &configuration(1));
        let mut cluster = Self {
            store,
            journal: Journal::default(),
            places: Vec::new(),
            seats: Vec::new(),
            version: 1,
            disturbed: Instant::now(),
            record: Record::default(),
        };
        let keyed = (0..size.keyed).map(|index| (format!("k{index}"), "keyed"));
        let pooled = (0..size.pooled).map(|index| (format!("p{index}"), "pooled"));
        for (id, service) in keyed.chain(pooled) {
            let place = cluster.open(id, service, FIRST_INCARNATION)?;
            cluster.list(&place, "ready");
            cluster.places.push(place);
        }
        for _ in 0..size.instances {
            let link = Proxy::start(cluster.store.address)?;
            let instance = Instance::start(program, "a", link.address)?;
            cluster.seats.push(Seat { instance, link, stopping: None, paused: false });
        }
        Ok(cluster)
    }

    fn open(&self, id: String, service: &'static str, life: u64) -> io::Result<Place> {
        let target =
            Target::start_incarnation(&id, life, service, service == "keyed", &self.journal)?;
        let link = Proxy::start(target.address)?;
        Ok(Place { id, service, life, target, link, up: true })
    }

    fn list(&self, place: &Place, state: &str) {
        let mut entry = place.target.registration(state);
        if let Some(address) = entry.get_mut("address") {
            *address = place.link.address.to_string().into();
        }
        self.store.put(&place.target.registration_key(), &entry);
    }

    /// Returns the instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.seats.iter().map(|seat| &seat.instance)
    }

    /// Returns whether an instance takes requests.
    pub fn ready(&self, index: usize) -> bool {
        let Some(seat) = self.seats.get(index) else { return false };
        let response = Caller::open(seat.instance.readiness_address)
            .and_then(|mut caller| caller.call("GET", "/v1/readyz", "ready", &[]));
        response.is_ok_and(|response| response.status == 200)
    }

    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// Fails if a process or a stand-in cannot be started.
    pub fn inject(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Reload(index) => self.signal(index, "HUP"),
            Fault::Stop(index) => self.stop(index),
            Fault::Configure(count) => {
                for _ in 0..count {
                    self.version += 1;
                    self.store.put("op/config", &configuration(self.version));
                }
            }
            Fault::Malformed => self.store.put_bytes("op/config", b"{\"version\": 9"),
            Fault::Leave(index) => self.leave(index),
            Fault::Compact => self.store.compact(),
            Fault::Kill(index) => {
                self.disturb();
                if let Some(seat) = self.seats.get_mut(index) {
                    seat.instance.kill();
                    (seat.stopping, seat.paused) = (None, false);
                }
            }
            Fault::Pause(index) => {
                self.disturb();
                self.signal(index, "STOP");
                if let Some(seat) = self.seats.get_mut(index) {
                    seat.paused = true;
                }
            }
            Fault::StoreLink(index, link) => {
                self.disturb();
                self.store_link(index, link);
            }
            Fault::Store(mode) => {
                self.disturb();
                self.store.set_mode(mode);
            }
            Fault::Crash(index) => {
                self.disturb();
                self.crash(index);
            }
            Fault::Unlist(index) => {
                self.disturb();
                if let Some(place) = self.places.get(index) {
                    self.store.remove(&place.target.registration_key());
                }
            }
            Fault::TargetLink(index, link) => {
                self.disturb();
                self.target_link(index, link);
            }
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// Fails if a process or a stand-in cannot be started.
    pub fn clear(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(index) => self.revive(index)?,
            Fault::Pause(index) => {
                self.signal(index, "CONT");
                if let Some(seat) = self.seats.get_mut(index) {
                    seat.paused = false;
                }
            }
            Fault::StoreLink(index, _) => self.store_link(index, Link::Open),
            Fault::Store(_) => self.store.set_mode(Mode::Up),
            Fault::Crash(index) | Fault::Leave(index) => self.renew(index)?,
            Fault::Unlist(index) => {
                if let Some(place) = self.places.get(index)
                    && place.up
                {
                    self.list(place, "ready");
                }
            }
            Fault::TargetLink(index, _) => self.target_link(index, Link::Open),
            // The operator sees that it was a mistake.
            Fault::Malformed => self.inject(Fault::Configure(1))?,
            Fault::Stop(_) | Fault::Reload(_) | Fault::Configure(_) | Fault::Compact => {}
        }
        Ok(())
    }

    /// Records that something unplanned begins: it excuses what planned work does from here on.
    fn disturb(&mut self) {
        self.disturbed = Instant::now();
        let now = self.disturbed;
        for stop in &mut self.record.stops {
            stop.until = stop.until.min(now);
        }
        for notice in &mut self.record.notices {
            notice.until = notice.until.min(now);
        }
    }

    fn signal(&mut self, index: usize, name: &str) {
        if let Some(seat) = self.seats.get_mut(index) {
            seat.signal(name);
        }
    }

    fn store_link(&self, index: usize, link: Link) {
        if let Some(seat) = self.seats.get(index) {
            seat.link.set_link(link);
        }
    }

    fn target_link(&self, index: usize, link: Link) {
        if let Some(place) = self.places.get(index) {
            place.link.set_link(link);
        }
    }

    /// Returns whether nothing unplanned is going on, or was a moment ago.
    fn calm(&self) -> bool {
        self.disturbed.elapsed() > Duration::from_secs(5)
    }

    fn stop(&mut self, index: usize) {
        let (now, calm) = (Instant::now(), self.calm());
        let Some(seat) = self.seats.get_mut(index) else { return };
        if seat.stopping.is_some() || seat.paused || seat.ended() {
            return;
        }
        seat.signal("TERM");
        seat.stopping = Some(now);
        if calm {
            self.record.stops.push(Stop { instance: index, from: now, until: now + GRACE });
        }
    }

    fn leave(&mut self, index: usize) {
        let (now, calm) = (Instant::now(), self.calm());
        let Some(place) = self.places.get(index).filter(|place| place.up) else { return };
        self.list(place, "draining");
        if calm {
            let target = place.id.clone();
            let until = now + Duration::from_secs(3600);
            self.record.notices.push(Notice { target, at: now, until });
        }
    }

    fn crash(&mut self, index: usize) {
        if let Some(place) = self.places.get_mut(index)
            && place.up
        {
            place.up = false;
            place.target.crash();
            place.link.close_connections();
        }
    }

    /// Starts a target again under its id, at another address.
    fn renew(&mut self, index: usize) -> io::Result<()> {
        self.crash(index);
        let Some(place) = self.places.get(index) else { return Ok(()) };
        let (id, service, life) = (place.id.clone(), place.service, place.life + 1);
        let now = Instant::now();
        for notice in self.record.notices.iter_mut().filter(|notice| notice.target == id) {
            notice.until = notice.until.min(now);
        }
        let place = self.open(id, service, life)?;
        self.list(&place, "ready");
        if let Some(old) = self.places.get_mut(index) {
            *old = place;
        }
        Ok(())
    }

    /// Starts an instance again that has ended.
    fn revive(&mut self, index: usize) -> io::Result<()> {
        let Some(seat) = self.seats.get_mut(index) else { return Ok(()) };
        if seat.ended() {
            seat.instance.restart()?;
            (seat.stopping, seat.paused) = (None, false);
        }
        Ok(())
    }

    /// Starts instances again that have ended, and kills those that do not stop in time.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn supervise(&mut self) -> io::Result<()> {
        for index in 0..self.seats.len() {
            let Some(seat) = self.seats.get_mut(index) else { continue };
            if let Some(since) = seat.stopping {
                let ended = seat.ended();
                if ended || since.elapsed() > GRACE {
                    if !ended {
                        seat.instance.kill();
                    }
                    for stop in self.record.stops.iter_mut().filter(|s| s.instance == index) {
                        stop.until = stop.until.min(Instant::now());
                    }
                    seat.instance.restart()?;
                    (seat.stopping, seat.paused) = (None, false);
                }
            }
        }
        Ok(())
    }

    /// Ends all faults.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn clear_faults(&mut self) -> io::Result<()> {
        self.store.set_mode(Mode::Up);
        for index in 0..self.seats.len() {
            self.store_link(index, Link::Open);
            self.signal(index, "CONT");
            if let Some(seat) = self.seats.get_mut(index) {
                seat.paused = false;
            }
            self.revive(index)?;
        }
        for place in &self.places {
            place.link.set_link(Link::Open);
        }
        Ok(())
    }

    /// Returns the version of the latest configuration.
    pub fn latest_version(&self) -> u64 {
        self.version
    }

    /// Takes what the targets saw, and the configurations that the instances applied, into the record.
    pub fn collect(&mut self) {
        for (instance, seat) in self.seats.iter().enumerate() {
            self.record.versions.extend(applied_versions(instance, &seat.instance.log()));
        }
        self.record.runs = self.journal.runs();
        self.record.conflicts = self.journal.conflicts();
    }
}

/// Returns the versions of the configuration that the processes of an instance applied, from its log.
pub fn applied_versions(instance: usize, log: &str) -> Vec<Version> {
    let mut process = 0;
    let mut versions = Vec::new();
    for line in log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
        match line.get("name").and_then(Value::as_str) {
            Some("edge-started") => process += 1,
            Some("configuration-applied") => {
                let version = line.get("version").and_then(Value::as_u64).unwrap_or(0);
                versions.push(Version { instance, process, version });
            }
            _ => {}
        }
    }
    versions
}

/// Returns the version of the configuration that an instance shows, or none if it does not respond.
pub fn reported_version(instance: &Instance) -> Option<u64> {
    let mut caller = Caller::open(instance.metrics_address).ok()?;
    let response = caller.call("GET", "/metrics", "metrics", &[]).ok()?;
    let mut lines = response.body.lines();
    let value = lines.find_map(|line| line.strip_prefix("caraway_config_version "))?;
    value.trim().parse().ok()
}
