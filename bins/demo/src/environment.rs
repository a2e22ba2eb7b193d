//! A running environment and the faults that can be injected into it.

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

/// Time allowed from the start of the processes until every group is served. It is generous, because
/// several environments may start on a busy machine.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Time allowed for a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(15);
/// Time without a change of coordinators after which an environment counts as settled. Groups are
/// spread one by one, every 500 ms.
const SETTLED: Duration = Duration::from_millis(1000);
/// Interval at which a condition is checked.
const POLL: Duration = Duration::from_millis(20);

/// What a process of the environment is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Entry instance.
    Entry,
    /// Target.
    Target,
    /// Target that is not in the document.
    Spare,
}

/// An entry instance or a target.
#[derive(Debug)]
pub struct Node {
    /// What the process is.
    pub kind: Kind,
    /// Failure domain.
    pub domain: String,
    /// Address for callers; the only address of a target.
    pub address: SocketAddr,
    /// Address that the platform's list shows.
    pub(crate) registered_address: SocketAddr,
    /// Address of the admin interface of an entry instance.
    pub(crate) admin_address: SocketAddr,
    pub(crate) process: Process,
}

impl Node {
    /// Returns the process id while the process runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.id()
    }
}

/// A running environment. Dropping it ends every process.
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
        self.wait_until("the platform answers", START_LIMIT, |_| platform.ready())?;
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
        self.wait_until_served(START_LIMIT)
    }

    /// Waits until every entry instance that should run is ready and every group has a coordinator.
    pub fn wait_until_served(&mut self, limit: Duration) -> Result<()> {
        self.wait_until("every entry instance is ready", limit, |environment| {
            let entries = environment.responsive(Kind::Entry);
            entries.iter().all(|(_, node)| environment.admin.ready(node.admin_address))
        })?;
        self.wait_until("every group is served", limit, |environment| {
            let mut served = BTreeSet::new();
            for (_, node) in environment.responsive(Kind::Entry) {
                served.extend(
                    environment.admin.serving_groups(node.admin_address).unwrap_or_default(),
                );
            }
            environment.plan.groups.iter().all(|group| served.contains(group.name.as_str()))
        })
    }

    /// Waits until no group has changed its coordinator for a second, as groups are spread over the
    /// instances after a start.
    pub fn wait_until_settled(&mut self, limit: Duration) -> Result<()> {
        let mut seen = self.coordinators();
        let mut since = Instant::now();
        self.wait_until("no group changes its coordinator", limit, |environment| {
            let now = environment.coordinators();
            if now != seen {
                seen = now;
                since = Instant::now();
            }
            since.elapsed() > SETTLED
        })
    }

    /// Waits for a condition. Processes that end during the wait are an error.
    pub fn wait_until(
        &mut self,
        what: &str,
        limit: Duration,
        mut condition: impl FnMut(&mut Self) -> bool,
    ) -> Result<()> {
        let deadline = Instant::now() + limit;
        loop {
            if condition(self) {
                return Ok(());
            }
            self.check_processes()?;
            if Instant::now() > deadline {
                return Err(Error::Timeout { what: what.to_owned(), seconds: limit.as_secs() });
            }
            std::thread::sleep(POLL);
        }
    }

    /// Returns an error if a process ended that was not ended on purpose.
    pub fn check_processes(&mut self) -> Result<()> {
        self.platform_process.check_running()?;
        self.nodes.values_mut().try_for_each(|node| node.process.check_running())
    }

    /// Returns the document with the addresses in use.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the plan of the document.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the directory of settings and logs.
    pub fn directory(&self) -> &PathBuf {
        &self.directory
    }

    /// Returns the names of all processes of a kind, in order of name.
    pub fn names(&self, kind: Kind) -> Vec<String> {
        let of_kind = self.nodes.iter().filter(|(_, node)| node.kind == kind);
        of_kind.map(|(name, _)| name.clone()).collect()
    }

    /// Returns a node.
    pub fn node(&self, name: &str) -> Result<&Node> {
        self.nodes.get(name).ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    fn node_mut(&mut self, name: &str) -> Result<&mut Node> {
        self.nodes.get_mut(name).ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    /// Returns the nodes of a kind that run and are not frozen.
    pub fn responsive(&self, kind: Kind) -> Vec<(&String, &Node)> {
        let all = self.nodes.iter();
        all.filter(|(_, node)| node.kind == kind && node.process.responsive()).collect()
    }

    /// Returns the addresses for callers of the entry instances, without those named in `except`.
    pub fn entry_addresses(&self, except: &[&str]) -> Vec<SocketAddr> {
        let entries = self.nodes.iter().filter(|(_, node)| node.kind == Kind::Entry);
        let kept = entries.filter(|(name, _)| !except.contains(&name.as_str()));
        kept.map(|(_, node)| node.address).collect()
    }

    /// Returns the addresses of the targets that are not in the document.
    pub fn spare_addresses(&self) -> Vec<SocketAddr> {
        self.responsive(Kind::Spare).iter().map(|(_, node)| node.address).collect()
    }

    /// Returns the process ids of the running processes of a kind.
    pub fn process_ids(&self, kind: Kind) -> Vec<u32> {
        self.responsive(kind).iter().filter_map(|(_, node)| node.process.id()).collect()
    }

    /// Returns the coordinator of each group, as the responsive entry instances report it.
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
        found.ok_or_else(|| Error::Unknown(format!("coordinator of {group}")))
    }

    /// Returns the groups that an entry instance says it coordinates, if it answers.
    pub fn held_groups(&self, name: &str) -> Option<BTreeSet<String>> {
        self.admin.held_groups(self.node(name).ok()?.admin_address)
    }

    /// Returns the term under which an entry instance says it coordinates a group.
    pub fn term(&self, name: &str, group: &str) -> Option<u64> {
        let status = self.admin_page(name, "/status").ok()?;
        let groups = status.get("groups")?.as_array()?;
        let row = groups.iter().find(|row| row.get("group").is_some_and(|found| found == group))?;
        row.get("term")?.as_u64()
    }

    /// Returns the configuration version that an entry instance applies, if it answers.
    pub fn config_version(&self, name: &str) -> Option<u64> {
        self.admin.config_version(self.node(name).ok()?.admin_address)
    }

    /// Returns the status of a target.
    pub fn target_status(&self, name: &str) -> Result<Value> {
        let (_, text) = self.http.get(self.node(name)?.address, "/control/status")?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Returns the number of requests that a target has started.
    pub fn execution_count(&mut self, name: &str) -> Result<usize> {
        let mut targets = self.journal_targets();
        targets.retain(|target| target.name == name);
        let mut journals = Journals::default();
        journals.collect_blocking(&targets, false)?;
        Ok(journals.read.values().map(|journal| journal.entries.len()).sum())
    }

    /// Returns a page of the admin interface of an entry instance.
    pub fn admin_page(&self, name: &str, path: &str) -> Result<Value> {
        self.admin.page(self.node(name)?.admin_address, path)
    }

    /// Returns a page of the admin interface of an entry instance as text.
    pub fn admin_text(&self, name: &str, path: &str) -> Result<String> {
        Ok(self.http.get(self.node(name)?.admin_address, path)?.1)
    }

    /// Returns the process id of an entry instance or a target that runs.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.nodes.get(name)?.process.id()
    }

    /// Returns the process id of the platform.
    pub fn platform_process_id(&self) -> Option<u32> {
        self.platform_process.id()
    }

    /// Returns the targets for the comparison of journals.
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

    /// Reads the journal of a target, so that it is not lost with the process.
    fn save_journal(&mut self, name: &str) -> Result<()> {
        let mut targets = self.journal_targets();
        targets.retain(|target| target.name == name);
        self.journals.collect_blocking(&targets, false)?;
        Ok(())
    }

    /// Reads the journals of all running targets after the end of the load and returns everything read
    /// so far.
    pub fn journals(&mut self) -> Result<Journals> {
        let running: Vec<String> =
            self.responsive(Kind::Target).into_iter().map(|(name, _)| name.clone()).collect();
        let mut targets = self.journal_targets();
        targets.retain(|target| running.contains(&target.name));
        let mut journals = self.journals.clone();
        journals.collect_blocking(&targets, true)?;
        Ok(journals)
    }

    /// Kills a process with SIGKILL. A running target's journal is read before.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let node = self.node(name)?;
        if node.kind == Kind::Target && node.process.responsive() {
            self.save_journal(name)?;
        }
        self.node_mut(name)?.process.kill();
        Ok(())
    }

    /// Stops a process with SIGSTOP.
    pub fn freeze(&mut self, name: &str) -> Result<()> {
        self.node_mut(name)?.process.freeze();
        Ok(())
    }

    /// Lets a frozen process go on.
    pub fn resume(&mut self, name: &str) -> Result<()> {
        self.node_mut(name)?.process.resume();
        Ok(())
    }

    /// Starts a process again. One that still runs is killed before.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        self.kill(name)?;
        self.node_mut(name)?.process.start()?;
        self.set_registration(name, State::Live)
    }

    /// Starts a planned stop with SIGTERM. The platform's list shows the instance as leaving.
    pub fn terminate(&mut self, name: &str) -> Result<()> {
        self.set_registration(name, State::Leaving)?;
        self.node(name)?.process.terminate();
        Ok(())
    }

    /// Waits for the end of a planned stop. Returns true if the process exited with code 0.
    pub fn wait_for_stop(&mut self, name: &str) -> Result<bool> {
        let status = self.node_mut(name)?.process.wait_timeout(STOP_LIMIT);
        let status = status.ok_or_else(|| Error::Timeout {
            what: format!("{name} exits"),
            seconds: STOP_LIMIT.as_secs(),
        })?;
        self.set_registration(name, State::Gone)?;
        Ok(status.success())
    }

    /// Waits for a process to end by itself, for example after a crashing request.
    pub fn wait_for_exit(&mut self, name: &str, limit: Duration) -> Result<bool> {
        Ok(self.node_mut(name)?.process.wait_timeout(limit).is_some())
    }

    /// Returns the process names of a kind that have ended by themselves since they were started.
    pub fn reap_exited(&mut self, kind: Kind) -> Vec<String> {
        let nodes = self.nodes.iter_mut().filter(|(_, node)| node.kind == kind);
        nodes.filter_map(|(name, node)| node.process.try_wait().map(|_| name.clone())).collect()
    }

    /// Tells a target that it is leaving.
    pub fn drain(&self, name: &str) -> Result<()> {
        self.control(name, "/control/drain", &json!({}))
    }

    /// Changes the faults of a target.
    pub fn set_target_faults(&self, name: &str, change: &Value) -> Result<()> {
        self.control(name, "/control/fault", change)
    }

    fn control(&self, name: &str, path: &str, body: &Value) -> Result<()> {
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

    /// Changes the state of an instance in the platform's list.
    pub fn set_registration(&self, name: &str, state: State) -> Result<()> {
        let node = self.node(name)?;
        let kind = match node.kind {
            Kind::Entry => "entry",
            Kind::Target | Kind::Spare => "target",
        };
        self.platform.register(name, kind, &node.domain, node.registered_address, state)
    }

    /// Writes a document to the store if the stage's key has the expected revision.
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

    /// Promotes the document again, so that it gets a new version.
    pub fn promote_again(&mut self) -> Result<()> {
        let write_id = format!("after-{}", self.revision);
        match self.put_document("production", &write_id, &self.document, self.revision)? {
            Ok(revision) | Err(revision) => self.revision = revision,
        }
        Ok(())
    }

    /// Returns the revision of the production document that was last written or seen.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Keeps the directory of settings and logs when the environment ends.
    pub fn keep_directory(&mut self) {
        self.keep_directory = true;
    }

    /// Stops every entry instance as planned, then ends the other processes. Returns the names of
    /// entry instances that did not exit with code 0.
    pub fn stop(mut self) -> Result<Vec<String>> {
        let names: Vec<String> =
            self.responsive(Kind::Entry).into_iter().map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.node(name)?.process.terminate();
        }
        let deadline = Instant::now() + STOP_LIMIT;
        let mut failed = Vec::new();
        for name in names {
            let left = deadline.saturating_duration_since(Instant::now());
            let status = self.node_mut(&name)?.process.wait_timeout(left);
            if !status.is_some_and(|status| status.success()) {
                failed.push(name);
            }
        }
        Ok(failed)
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        // Processes end here, not with their fields, so that their logs are closed before the
        // directory is removed.
        self.nodes.values_mut().for_each(|node| node.process.kill());
        self.platform_process.kill();
        if self.keep_directory || std::thread::panicking() {
            eprintln!("settings and logs: {}", self.directory.display());
        } else {
            // A directory that cannot be removed is only left behind.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
