//! A running environment and the operations that inject faults into it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::admin::Admin;
use crate::child::Process;
use crate::errors::Error;
use crate::errors::Result;
use crate::platform::Http;
use crate::platform::Platform;
use crate::platform::State;
use crate::port::Range;
use caraway_document::plan::Division;
use caraway_document::plan::Plan;
use caraway_document::schema::Document;
use caraway_load::journal::Journals;
use caraway_load::profile::Target;

/// Timeout from the start of the processes until all groups are served. Several environments may start
/// at the same time on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without a change of coordinators after which an environment is considered settled. Groups are
/// rebalanced one at a time, every 500 ms.
const SETTLE_PERIOD: Duration = Duration::from_millis(1000);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Kind of a process of the environment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Entry instance.
    Entry,
    /// Target.
    Target,
    /// Target outside the document, for direct requests.
    Spare,
}

/// An entry instance or a target.
#[derive(Debug)]
pub struct Node {
    /// Kind of the process.
    pub kind: Kind,
    /// Failure domain.
    pub domain: String,
    /// Address for callers; the only address of a target.
    pub address: SocketAddr,
    /// Address in the platform's instance list.
    pub(crate) registered_address: SocketAddr,
    /// Address of the admin interface of an entry instance; the address of a target.
    pub(crate) admin_address: SocketAddr,
    pub(crate) process: Process,
}

impl Node {
    /// Returns the process ID while the process runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.id()
    }
}

/// A running environment. Dropping it kills all processes.
#[derive(Debug)]
pub struct Environment {
    pub(crate) platform_process: Process,
    pub(crate) platform: Platform,
    pub(crate) admin: Admin,
    pub(crate) http: Http,
    pub(crate) nodes: BTreeMap<String, Node>,
    pub(crate) journals: Journals,
    pub(crate) revision: u64,
    pub(crate) keep_directory: bool,
    pub(crate) document: Document,
    pub(crate) plan: Plan,
    pub(crate) directory: PathBuf,
    pub(crate) range: Range,
}

impl Environment {
    pub(crate) fn start(&mut self) -> Result<()> {
        self.platform_process.start()?;
        let platform = self.platform.clone();
        self.wait_until("the platform responds", START_TIMEOUT, |_| platform.is_ready())?;
        for stage in ["trial", "production"] {
            self.revision = self.put_document(stage, "start", &self.document.clone(), 0)?.map_err(
                |revision| {
                    Error::Document(format!(
                        "the store already has a document, revision {revision}"
                    ))
                },
            )?;
        }
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            if self.node(name)?.kind != Kind::Spare {
                self.set_registration(name, State::Live)?;
            }
            self.node_mut(name)?.process.start()?;
        }
        self.wait_until_served(START_TIMEOUT)
    }

    /// Waits until all responsive entry instances are ready and all groups are served.
    pub fn wait_until_served(&mut self, timeout: Duration) -> Result<()> {
        self.wait_until("every entry instance is ready", timeout, |environment| {
            let entries = environment.responsive(Kind::Entry);
            entries.iter().all(|(_, node)| environment.admin.is_ready(node.admin_address))
        })?;
        self.wait_until("every group is served", timeout, |environment| {
            let mut served = BTreeSet::new();
            for (_, node) in environment.responsive(Kind::Entry) {
                served.extend(
                    environment.admin.serving_groups(node.admin_address).unwrap_or_default(),
                );
            }
            environment.plan.groups.iter().all(|group| served.contains(group.name.as_str()))
        })
    }

    /// Waits until no group has changed its coordinator for a second. After a start, groups are
    /// rebalanced across the instances.
    pub fn wait_until_settled(&mut self, timeout: Duration) -> Result<()> {
        let mut coordinators = self.coordinators();
        let mut last_change = Instant::now();
        self.wait_until("no group changes its coordinator", timeout, |environment| {
            let now = environment.coordinators();
            if now != coordinators {
                coordinators = now;
                last_change = Instant::now();
            }
            last_change.elapsed() > SETTLE_PERIOD
        })
    }

    /// Waits for a condition.
    ///
    /// # Errors
    ///
    /// The condition is not met before the timeout, or a process exits unexpectedly.
    pub fn wait_until(
        &mut self,
        what: &str,
        timeout: Duration,
        mut condition: impl FnMut(&mut Self) -> bool,
    ) -> Result<()> {
        let deadline = Instant::now() + timeout;
        loop {
            if condition(self) {
                return Ok(());
            }
            self.check_processes()?;
            if Instant::now() > deadline {
                return Err(Error::Timeout { what: what.to_owned(), seconds: timeout.as_secs() });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns an error if a process has exited without being stopped by this environment.
    pub fn check_processes(&mut self) -> Result<()> {
        self.platform_process.check_running()?;
        self.nodes.values_mut().try_for_each(|node| node.process.check_running())
    }

    /// Returns the document with the assigned target addresses.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the plan of the document.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the client of the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the directory of settings and logs.
    pub fn directory(&self) -> &PathBuf {
        &self.directory
    }

    /// Returns the sorted names of all processes of a kind.
    pub fn names(&self, kind: Kind) -> Vec<String> {
        let of_kind = self.nodes.iter().filter(|(_, node)| node.kind == kind);
        of_kind.map(|(name, _)| name.clone()).collect()
    }

    /// Returns an entry instance or a target by name.
    pub fn node(&self, name: &str) -> Result<&Node> {
        self.nodes.get(name).ok_or_else(|| Error::NotFound(name.to_owned()))
    }

    fn node_mut(&mut self, name: &str) -> Result<&mut Node> {
        self.nodes.get_mut(name).ok_or_else(|| Error::NotFound(name.to_owned()))
    }

    /// Returns the processes of a kind that run and are not frozen.
    pub fn responsive(&self, kind: Kind) -> Vec<(&String, &Node)> {
        let all = self.nodes.iter();
        all.filter(|(_, node)| node.kind == kind && node.process.is_responsive()).collect()
    }

    /// Returns the caller addresses of the entry instances that are not named in `excluded`.
    pub fn entry_addresses(&self, excluded: &[&str]) -> Vec<SocketAddr> {
        let entries = self.nodes.iter().filter(|(_, node)| node.kind == Kind::Entry);
        let kept = entries.filter(|(name, _)| !excluded.contains(&name.as_str()));
        kept.map(|(_, node)| node.address).collect()
    }

    /// Returns the addresses of the targets that are not in the document.
    pub fn spare_addresses(&self) -> Vec<SocketAddr> {
        self.responsive(Kind::Spare).iter().map(|(_, node)| node.address).collect()
    }

    /// Returns the process IDs of the responsive processes of a kind.
    pub fn process_ids(&self, kind: Kind) -> Vec<u32> {
        self.responsive(kind).iter().filter_map(|(_, node)| node.process.id()).collect()
    }

    /// Returns the coordinator of each group as reported by the responsive entry instances.
    pub fn coordinators(&self) -> BTreeMap<String, String> {
        let mut coordinators = BTreeMap::new();
        for (name, node) in self.responsive(Kind::Entry) {
            for group in self.admin.held_groups(node.admin_address).unwrap_or_default() {
                coordinators.insert(group, name.clone());
            }
        }
        coordinators
    }

    /// Returns the coordinator of one group.
    pub fn coordinator(&self, group: &str) -> Result<String> {
        let found = self.coordinators().remove(group);
        found.ok_or_else(|| Error::NotFound(format!("coordinator of {group}")))
    }

    /// Returns the groups that an entry instance reports to coordinate, if it responds.
    pub fn held_groups(&self, name: &str) -> Option<BTreeSet<String>> {
        self.admin.held_groups(self.node(name).ok()?.admin_address)
    }

    /// Returns the term under which an entry instance reports to coordinate a group.
    pub fn term(&self, name: &str, group: &str) -> Option<u64> {
        let status = self.admin_json(name, "/status").ok()?;
        let groups = status.get("groups")?.as_array()?;
        let row = groups.iter().find(|row| row.get("group").is_some_and(|found| found == group))?;
        row.get("term")?.as_u64()
    }

    /// Returns the configuration version of an entry instance, if it responds.
    pub fn config_version(&self, name: &str) -> Option<u64> {
        self.admin.config_version(self.node(name).ok()?.admin_address)
    }

    /// Returns the status of a target.
    pub fn target_status(&self, name: &str) -> Result<Value> {
        let (_, text) = self.http.get(self.node(name)?.address, "/control/status")?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Returns the number of requests that a target has started to execute, from its journal.
    pub fn execution_count(&mut self, name: &str) -> Result<usize> {
        let mut targets = self.journal_targets();
        targets.retain(|target| target.name == name);
        let mut journals = Journals::default();
        journals.collect_blocking(&targets, false)?;
        Ok(journals.read.values().map(|journal| journal.entries.len()).sum())
    }

    /// Fetches a path of the admin interface of an entry instance and parses the body as JSON.
    pub fn admin_json(&self, name: &str, path: &str) -> Result<Value> {
        self.admin.get_json(self.node(name)?.admin_address, path)
    }

    /// Fetches a path of the admin interface of an entry instance and returns the body.
    pub fn admin_text(&self, name: &str, path: &str) -> Result<String> {
        Ok(self.http.get(self.node(name)?.admin_address, path)?.1)
    }

    /// Returns the process ID of a running entry instance or target.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.nodes.get(name)?.process.id()
    }

    /// Returns the process ID of the platform.
    pub fn platform_process_id(&self) -> Option<u32> {
        self.platform_process.id()
    }

    /// Returns the targets whose journals are compared with the samples of the load.
    pub fn journal_targets(&self) -> Vec<Target> {
        let services = self.document.services.iter();
        services
            .flat_map(|service| {
                service.targets.iter().map(|target| Target {
                    name: target.name.to_string(),
                    address: target.address,
                    keyed: service.division == Division::Keyed,
                    service: service.name.to_string(),
                })
            })
            .collect()
    }

    /// Reads and keeps the journal of a target, which is lost with the process.
    fn save_journal(&mut self, name: &str) -> Result<()> {
        let mut targets = self.journal_targets();
        targets.retain(|target| target.name == name);
        self.journals.collect_blocking(&targets, false)?;
        Ok(())
    }

    /// Reads the journals of all running targets after the end of the load and returns them together with
    /// the journals read before.
    pub fn journals(&mut self) -> Result<Journals> {
        let running: Vec<String> =
            self.responsive(Kind::Target).into_iter().map(|(name, _)| name.clone()).collect();
        let mut targets = self.journal_targets();
        targets.retain(|target| running.contains(&target.name));
        let mut journals = self.journals.clone();
        journals.collect_blocking(&targets, true)?;
        Ok(journals)
    }

    /// Kills a process with SIGKILL. The journal of a responsive target is read first.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let node = self.node(name)?;
        if node.kind == Kind::Target && node.process.is_responsive() {
            self.save_journal(name)?;
        }
        self.node_mut(name)?.process.kill();
        Ok(())
    }

    /// Suspends a process with SIGSTOP.
    pub fn freeze(&mut self, name: &str) -> Result<()> {
        self.node_mut(name)?.process.freeze();
        Ok(())
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn resume(&mut self, name: &str) -> Result<()> {
        self.node_mut(name)?.process.resume();
        Ok(())
    }

    /// Restarts a process, killing it first if it still runs.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        self.kill(name)?;
        self.node_mut(name)?.process.start()?;
        self.set_registration(name, State::Live)
    }

    /// Starts a planned stop with SIGTERM, after registering the instance as leaving.
    pub fn terminate(&mut self, name: &str) -> Result<()> {
        self.set_registration(name, State::Leaving)?;
        self.node(name)?.process.terminate();
        Ok(())
    }

    /// Waits until a planned stop is complete. Returns true if the process exited with code 0.
    pub fn wait_for_stop(&mut self, name: &str) -> Result<bool> {
        let status = self.node_mut(name)?.process.wait_timeout(STOP_TIMEOUT);
        let status = status.ok_or_else(|| Error::Timeout {
            what: format!("{name} exits"),
            seconds: STOP_TIMEOUT.as_secs(),
        })?;
        self.set_registration(name, State::Gone)?;
        Ok(status.success())
    }

    /// Waits for a process to exit by itself, such as after a crash. Returns false on timeout.
    pub fn wait_for_exit(&mut self, name: &str, timeout: Duration) -> Result<bool> {
        Ok(self.node_mut(name)?.process.wait_timeout(timeout).is_some())
    }

    /// Reaps the processes of a kind that have exited by themselves and returns their names.
    pub fn reap_exited(&mut self, kind: Kind) -> Vec<String> {
        let nodes = self.nodes.iter_mut().filter(|(_, node)| node.kind == kind);
        nodes.filter_map(|(name, node)| node.process.try_wait().map(|_| name.clone())).collect()
    }

    /// Starts the drain of a target.
    pub fn drain(&self, name: &str) -> Result<()> {
        self.post_control(name, "/control/drain", &json!({}))
    }

    /// Sets injected faults of a target.
    pub fn set_target_faults(&self, name: &str, change: &Value) -> Result<()> {
        self.post_control(name, "/control/fault", change)
    }

    fn post_control(&self, name: &str, path: &str, body: &Value) -> Result<()> {
        let address = self.node(name)?.address;
        let (status, text) = self.http.send(false, address, path, body)?;
        match status {
            200..=299 => Ok(()),
            _ => Err(Error::Http {
                url: path.to_owned(),
                problem: format!("status {status}: {text}"),
            }),
        }
    }

    /// Writes the state of an instance to the platform's instance list.
    pub fn set_registration(&self, name: &str, state: State) -> Result<()> {
        let node = self.node(name)?;
        let kind = match node.kind {
            Kind::Entry => "entry",
            Kind::Target | Kind::Spare => "target",
        };
        self.platform.register(name, kind, &node.domain, node.registered_address, state)
    }

    /// Writes a document to the store if the key of the stage has the expected revision. Returns the new
    /// revision, or the current one as the inner error.
    pub fn put_document(
        &self,
        stage: &str,
        write_id: &str,
        document: &Document,
        expect: u64,
    ) -> Result<std::result::Result<u64, u64>> {
        let key = format!("environments/{}/{stage}", self.document.environment);
        let value = json!({ "write_id": write_id, "document": document });
        self.platform.put(&key, &value, expect)
    }

    /// Writes the same document to production again, which gives it a new version.
    pub fn promote_again(&mut self) -> Result<()> {
        let write_id = format!("after-{}", self.revision);
        match self.put_document("production", &write_id, &self.document, self.revision)? {
            Ok(revision) | Err(revision) => self.revision = revision,
        }
        Ok(())
    }

    /// Returns the last known revision of the production document.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Keeps the directory of settings and logs when the environment is dropped.
    pub fn keep_directory(&mut self) {
        self.keep_directory = true;
    }

    /// Runs a planned stop of all entry instances, then kills the other processes. Returns the names of
    /// the entry instances that did not exit with code 0.
    pub fn stop(mut self) -> Result<Vec<String>> {
        let names: Vec<String> =
            self.responsive(Kind::Entry).into_iter().map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.node(name)?.process.terminate();
        }
        let deadline = Instant::now() + STOP_TIMEOUT;
        let mut failed = Vec::new();
        for name in names {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let status = self.node_mut(&name)?.process.wait_timeout(remaining);
            if !status.is_some_and(|status| status.success()) {
                failed.push(name);
            }
        }
        Ok(failed)
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        // Kills the processes here instead of in the drop of the fields, so that their logs are closed
        // before the directory is removed.
        self.nodes.values_mut().for_each(|node| node.process.kill());
        self.platform_process.kill();
        if self.keep_directory || std::thread::panicking() {
            eprintln!("settings and logs: {}", self.directory.display());
        } else {
            // A directory that cannot be removed is left behind.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
