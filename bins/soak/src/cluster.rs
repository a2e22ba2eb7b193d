//! Processes and stand-ins of a run, and fault injection into them.

use std::io;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::ExitStatus;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::check::Evacuation;
use crate::check::Notice;
use crate::check::Record;
use crate::check::Stop;
use crate::configuration;
use crate::configuration::COLD_TIME;
use crate::configuration::configuration;
use crate::plan::DOMAINS;
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

/// Time limit of a graceful stop; equals `grace_s` in the settings of the instances.
const GRACE_TIME: Duration = Duration::from_secs(6);

/// Pause that a refusing target asks for, in seconds.
const PAUSE_SECONDS: &str = "0.7";

/// Number of requests in any second above which a cold target crashes: 1.5 times the rate and 2 more, as
/// in the settings of the instances.
const MAX_COLD_ARRIVALS: usize = 8;

/// Names of the failure domains. A run without additional faults has only the first.
const DOMAIN_NAMES: [&str; DOMAINS] = ["a", "b"];

/// Time within which an instance learns of an evacuation from a store that responds.
const LEARNING_TIME: Duration = Duration::from_secs(1);

/// Pieces of odd entries, which are repeated.
const ODD_ENTRIES: [&str; 4] = ["[", "{\"address\":\"127.0.0.1:70000\"}", "\u{0}", "1e999"];

/// Time limit of a check whether a process has exited.
const EXIT_POLL: Duration = Duration::from_millis(1);

/// Number of the signal to reload settings.
const SIGHUP: i32 = 1;

/// A target behind a proxy.
#[derive(Debug)]
struct Endpoint {
    id: String,
    service: &'static str,
    domain: &'static str,
    incarnation: u64,
    target: Target,
    proxy: Proxy,
    up: bool,
}

/// An instance that reaches the store through a proxy.
#[derive(Debug)]
struct Node {
    instance: Instance,
    store_proxy: Proxy,
    /// Time at which a graceful stop was requested, until the process is restarted.
    stop_requested: Option<Instant>,
    paused: bool,
    /// Whether the process was killed, or its end was recorded, until it is restarted.
    killed: bool,
}

impl Node {
    fn has_exited(&mut self) -> bool {
        self.instance.wait(EXIT_POLL).is_some()
    }

    /// Returns the status of a process that ended without being stopped or killed, once.
    fn unexpected_exit(&mut self) -> Option<ExitStatus> {
        if self.killed || self.stop_requested.is_some() {
            return None;
        }
        let status = self.instance.exit_status()?;
        self.killed = true;
        // SIGHUP ends a process that has just started and does not handle it yet.
        (status.signal() != Some(SIGHUP)).then_some(status)
    }

    fn restart(&mut self) -> io::Result<()> {
        self.instance.restart()?;
        (self.stop_requested, self.paused, self.killed) = (None, false, false);
        Ok(())
    }

    fn signal(&mut self, name: &str) {
        if !self.has_exited() {
            self.instance.signal(name);
        }
    }
}

/// All processes and stand-ins of a run.
#[derive(Debug)]
pub struct Cluster {
    store: Store,
    journal: Journal,
    endpoints: Vec<Endpoint>,
    nodes: Vec<Node>,
    /// Latest version of the configuration.
    version: u64,
    /// Whether the run has additional faults.
    extended: bool,
    /// Time at which the latest unplanned fault was injected.
    last_unplanned: Instant,
    /// Number of evacuations in progress of each failure domain.
    evacuated: [u32; DOMAINS],
    /// Whether the store is in its usual mode.
    store_up: bool,
    /// Observations, except for calls and unserved requests.
    pub record: Record,
}

impl Cluster {
    /// Starts the stand-ins and the processes of `program`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free or a process cannot be started.
    pub fn start(program: &Path, size: &Size, extended: bool) -> io::Result<Self> {
        let store = Store::start()?;
        let mut cluster = Self {
            store,
            journal: Journal::default(),
            endpoints: Vec::new(),
            nodes: Vec::new(),
            version: 0,
            extended,
            last_unplanned: Instant::now(),
            evacuated: [0; DOMAINS],
            store_up: true,
            record: Record::default(),
        };
        cluster.configure();
        let keyed = (0..size.keyed).map(|index| (format!("k{index}"), "keyed"));
        let pooled = (0..size.pooled).map(|index| (format!("p{index}"), "pooled"));
        for (index, (id, service)) in keyed.chain(pooled).enumerate() {
            let domain = cluster.domain(index);
            let endpoint = cluster.start_endpoint(id, service, domain, FIRST_INCARNATION)?;
            cluster.register(&endpoint, "ready");
            cluster.endpoints.push(endpoint);
        }
        for index in 0..size.instances {
            let store_proxy = Proxy::start(cluster.store.address)?;
            let instance = Instance::start(program, cluster.domain(index), store_proxy.address)?;
            cluster.nodes.push(Node {
                instance,
                store_proxy,
                stop_requested: None,
                paused: false,
                killed: false,
            });
        }
        Ok(cluster)
    }

    /// Returns the failure domain of an instance or target.
    fn domain(&self, index: usize) -> &'static str {
        let number = if self.extended { index % DOMAINS } else { 0 };
        DOMAIN_NAMES.get(number).copied().unwrap_or_default()
    }

    fn start_endpoint(
        &self,
        id: String,
        service: &'static str,
        domain: &'static str,
        incarnation: u64,
    ) -> io::Result<Endpoint> {
        let target = Target::start_incarnation(
            &id,
            incarnation,
            service,
            service == "keyed",
            &self.journal,
        )?;
        let proxy = Proxy::start(target.address)?;
        Ok(Endpoint { id, service, domain, incarnation, target, proxy, up: true })
    }

    /// Writes a new version of the configuration.
    fn configure(&mut self) {
        self.version += 1;
        self.store.put("op/config", &configuration(self.version, self.extended));
    }

    /// Writes the registration of a target, with the address of its proxy, to the store.
    fn register(&self, endpoint: &Endpoint, state: &str) {
        let mut registration = endpoint.target.registration_in(state, endpoint.domain);
        if let Some(address) = registration.get_mut("address") {
            *address = endpoint.proxy.address.to_string().into();
        }
        self.store.put(&endpoint.target.registration_key(), &registration);
    }

    /// Returns the instances in order of their index.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.nodes.iter().map(|node| &node.instance)
    }

    /// Returns whether an instance reports that it is ready.
    pub fn ready(&self, index: usize) -> bool {
        let Some(node) = self.nodes.get(index) else { return false };
        let response = Caller::open(node.instance.readiness_address)
            .and_then(|mut caller| caller.call("GET", "/v1/readyz", "ready", &[]));
        response.is_ok_and(|response| response.status == 200)
    }

    /// Injects a fault.
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
                    self.configure();
                }
            }
            Fault::Malformed => self.store.put_bytes("op/config", b"{\"version\": 9"),
            Fault::Leave(index) => self.leave(index),
            Fault::Compact => self.store.compact(),
            Fault::Kill(index) => {
                self.record_unplanned();
                self.record_exits();
                if let Some(node) = self.nodes.get_mut(index) {
                    node.instance.kill();
                    (node.stop_requested, node.paused, node.killed) = (None, false, true);
                }
            }
            Fault::Pause(index) => {
                self.record_unplanned();
                self.signal(index, "STOP");
                if let Some(node) = self.nodes.get_mut(index) {
                    node.paused = true;
                }
            }
            Fault::StoreLink(index, link) => {
                self.record_unplanned();
                self.set_store_link(index, link);
            }
            Fault::Store(mode) => {
                self.record_unplanned();
                self.store_up = false;
                // No instance may have learned of an evacuation that the store acknowledged just before.
                self.record.evacuations.retain(|e| e.at.elapsed() > LEARNING_TIME);
                self.store.set_mode(mode);
            }
            Fault::Crash(index) | Fault::Cold(index) => {
                self.record_unplanned();
                self.crash(index);
            }
            Fault::Unlist(index) => {
                self.record_unplanned();
                if let Some(endpoint) = self.endpoints.get(index) {
                    self.store.remove(&endpoint.target.registration_key());
                }
            }
            // The bounds for cold targets and evacuations assume that transit times vary little.
            Fault::TargetLink(index, _)
                if self
                    .endpoints
                    .get(index)
                    .is_some_and(|e| e.target.is_cold() || self.is_evacuated(e.domain)) => {}
            Fault::TargetLink(index, link) => {
                self.record_unplanned();
                self.set_target_link(index, link);
            }
            Fault::Announce(index) => {
                if let Some(endpoint) = self.endpoints.get(index) {
                    endpoint.target.announce_departure();
                }
            }
            Fault::Evacuate(domain) => self.evacuate(domain),
            Fault::Refuse(index) => self.set_pause(index, Some(PAUSE_SECONDS)),
            Fault::OddEntry(number) => {
                let entry = ODD_ENTRIES.get(number % ODD_ENTRIES.len()).copied();
                let key = format!("servers/odd-{}", number % 64);
                self.store.put_bytes(&key, entry.unwrap_or_default().repeat(2000).as_bytes());
            }
        }
        Ok(())
    }

    /// Clears a fault and restarts what it ended.
    ///
    /// # Errors
    ///
    /// Fails if a process or a stand-in cannot be started.
    pub fn clear(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(index) => self.restart_exited(index)?,
            Fault::Pause(index) => {
                self.signal(index, "CONT");
                if let Some(node) = self.nodes.get_mut(index) {
                    node.paused = false;
                }
            }
            Fault::StoreLink(index, _) => self.set_store_link(index, Link::Open),
            Fault::Store(_) => self.set_store_up(),
            Fault::Evacuate(domain) => self.end_evacuation(domain),
            Fault::Crash(index) | Fault::Leave(index) | Fault::Announce(index) => {
                self.replace_target(index, false)?;
            }
            Fault::Cold(index) => self.replace_target(index, true)?,
            Fault::Refuse(index) => self.set_pause(index, None),
            Fault::Unlist(index) => {
                if let Some(endpoint) = self.endpoints.get(index)
                    && endpoint.up
                {
                    self.register(endpoint, "ready");
                }
            }
            Fault::TargetLink(index, _) => self.set_target_link(index, Link::Open),
            // Represents the operator's correction of the configuration.
            Fault::Malformed => self.inject(Fault::Configure(1))?,
            Fault::Stop(_)
            | Fault::Reload(_)
            | Fault::Configure(_)
            | Fault::Compact
            | Fault::OddEntry(_) => {}
        }
        Ok(())
    }

    /// Records the injection of an unplanned fault. From here on, the invariants of stops and
    /// notices that are in progress are not enforced.
    fn record_unplanned(&mut self) {
        self.last_unplanned = Instant::now();
        let now = self.last_unplanned;
        for stop in &mut self.record.stops {
            stop.until = stop.until.min(now);
        }
        for notice in &mut self.record.notices {
            notice.until = notice.until.min(now);
        }
    }

    fn signal(&mut self, index: usize, name: &str) {
        if let Some(node) = self.nodes.get_mut(index) {
            node.signal(name);
        }
    }

    fn set_store_up(&mut self) {
        self.store.set_mode(Mode::Up);
        self.store_up = true;
    }

    fn is_evacuated(&self, domain: &str) -> bool {
        let mut domains = DOMAIN_NAMES.iter().zip(self.evacuated);
        domains.any(|(name, count)| *name == domain && count > 0)
    }

    /// Evacuates a failure domain, unless that is in progress or no instance would learn of it.
    fn evacuate(&mut self, domain: usize) {
        let (Some(name), Some(count)) = (DOMAIN_NAMES.get(domain), self.evacuated.get_mut(domain))
        else {
            return;
        };
        *count += 1;
        if *count > 1 {
            return;
        }
        let inside = self.endpoints.iter().filter(|endpoint| endpoint.domain == *name);
        let mut targets = Vec::new();
        for endpoint in inside {
            endpoint.proxy.set_link(Link::Open);
            targets.push(endpoint.id.clone());
        }
        self.store.put(&format!("op/evacuate/{name}"), &json!({}));
        if self.store_up {
            let at = Instant::now();
            let until = at + Duration::from_secs(3600);
            self.record.evacuations.push(Evacuation { domain: name, targets, at, until });
        }
    }

    fn end_evacuation(&mut self, domain: usize) {
        let (Some(name), Some(count)) = (DOMAIN_NAMES.get(domain), self.evacuated.get_mut(domain))
        else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count > 0 {
            return;
        }
        let now = Instant::now();
        for evacuation in self.record.evacuations.iter_mut().filter(|e| e.domain == *name) {
            evacuation.until = evacuation.until.min(now);
        }
        self.store.remove(&format!("op/evacuate/{name}"));
    }

    fn set_store_link(&self, index: usize, link: Link) {
        if let Some(node) = self.nodes.get(index) {
            node.store_proxy.set_link(link);
        }
    }

    fn set_pause(&self, index: usize, seconds: Option<&str>) {
        if let Some(endpoint) = self.endpoints.get(index) {
            endpoint.target.set_pause(seconds);
        }
    }

    fn set_target_link(&self, index: usize, link: Link) {
        if let Some(endpoint) = self.endpoints.get(index) {
            endpoint.proxy.set_link(link);
        }
    }

    /// Returns whether no unplanned fault was injected recently.
    fn is_undisturbed(&self) -> bool {
        self.last_unplanned.elapsed() > Duration::from_secs(5)
    }

    fn stop(&mut self, index: usize) {
        let (now, undisturbed) = (Instant::now(), self.is_undisturbed());
        let Some(node) = self.nodes.get_mut(index) else { return };
        if node.paused || node.has_exited() {
            return;
        }
        node.signal("TERM");
        if node.stop_requested.is_some() {
            // A repeated signal changes nothing.
            return;
        }
        node.stop_requested = Some(now);
        if undisturbed {
            self.record.stops.push(Stop { instance: index, from: now, until: now + GRACE_TIME });
        }
    }

    fn leave(&mut self, index: usize) {
        let (now, undisturbed) = (Instant::now(), self.is_undisturbed());
        let Some(endpoint) = self.endpoints.get(index).filter(|endpoint| endpoint.up) else {
            return;
        };
        self.register(endpoint, "draining");
        if undisturbed {
            let target = endpoint.id.clone();
            let until = now + Duration::from_secs(3600);
            self.record.notices.push(Notice { target, at: now, until });
        }
    }

    fn crash(&mut self, index: usize) {
        if let Some(endpoint) = self.endpoints.get_mut(index)
            && endpoint.up
        {
            if endpoint.target.is_down() {
                self.record.crashes.push(format!("{} {}", endpoint.id, endpoint.incarnation));
            }
            endpoint.up = false;
            endpoint.target.crash();
            endpoint.proxy.close_connections();
        }
    }

    /// Ends a target and starts a new incarnation under its id, at another address.
    fn replace_target(&mut self, index: usize, cold: bool) -> io::Result<()> {
        self.crash(index);
        let Some(endpoint) = self.endpoints.get(index) else { return Ok(()) };
        let (id, service, incarnation) =
            (endpoint.id.clone(), endpoint.service, endpoint.incarnation + 1);
        let now = Instant::now();
        for notice in self.record.notices.iter_mut().filter(|notice| notice.target == id) {
            notice.until = notice.until.min(now);
        }
        let endpoint = self.start_endpoint(id, service, self.domain(index), incarnation)?;
        if cold {
            endpoint.target.make_cold(COLD_TIME, MAX_COLD_ARRIVALS);
        }
        self.register(&endpoint, "ready");
        if let Some(old) = self.endpoints.get_mut(index) {
            *old = endpoint;
        }
        Ok(())
    }

    /// Records processes that ended without being stopped or killed.
    fn record_exits(&mut self) {
        for node in &mut self.nodes {
            if let Some(status) = node.unexpected_exit() {
                self.record.exits.push(format!("{}: {status}", node.instance.name));
            }
        }
    }

    /// Restarts an instance if it has exited.
    fn restart_exited(&mut self, index: usize) -> io::Result<()> {
        self.record_exits();
        let Some(node) = self.nodes.get_mut(index) else { return Ok(()) };
        if node.has_exited() {
            node.restart()?;
        }
        Ok(())
    }

    /// Restarts instances that have stopped, and kills those that exceed the grace time first.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn supervise(&mut self) -> io::Result<()> {
        self.record_exits();
        for index in 0..self.nodes.len() {
            let Some(node) = self.nodes.get_mut(index) else { continue };
            if let Some(since) = node.stop_requested {
                let exited = node.has_exited();
                if exited || since.elapsed() > GRACE_TIME {
                    if !exited {
                        node.instance.kill();
                    }
                    for stop in self.record.stops.iter_mut().filter(|s| s.instance == index) {
                        stop.until = stop.until.min(Instant::now());
                    }
                    node.restart()?;
                }
            }
        }
        Ok(())
    }

    /// Clears all faults.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn clear_faults(&mut self) -> io::Result<()> {
        self.set_store_up();
        for index in 0..self.nodes.len() {
            self.set_store_link(index, Link::Open);
            self.signal(index, "CONT");
            if let Some(node) = self.nodes.get_mut(index) {
                node.paused = false;
            }
            self.restart_exited(index)?;
        }
        for endpoint in &self.endpoints {
            endpoint.proxy.set_link(Link::Open);
            endpoint.target.set_pause(None);
        }
        Ok(())
    }

    /// Returns the latest version of the configuration.
    pub fn latest_version(&self) -> u64 {
        self.version
    }

    /// Adds the targets' journal and the configuration versions applied by the instances to the record.
    pub fn collect(&mut self) {
        for (instance, node) in self.nodes.iter().enumerate() {
            self.record
                .versions
                .extend(configuration::applied_versions(instance, &node.instance.log()));
        }
        self.record_exits();
        for endpoint in self.endpoints.iter().filter(|e| e.up && e.target.is_down()) {
            self.record.crashes.push(format!("{} {}", endpoint.id, endpoint.incarnation));
        }
        self.record.arrivals = self.journal.arrivals();
        self.record.runs = self.journal.runs();
        self.record.conflicts = self.journal.conflicts();
    }
}
