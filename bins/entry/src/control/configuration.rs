//! The environment document: which version is known, which is in force.

use std::net::SocketAddr;
use std::sync::Arc;

use caraway_core::time::Stamp;
use caraway_document::plan::Plan;
use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;

use super::Control;

/// Members of the failure domain, in name order, that watch the store for the others.
const WATCHERS: usize = 2;

impl Control {
    /// Asks a peer for the document if it has a higher version.
    pub(super) fn notice_version(&mut self, version: u64, address: SocketAddr) {
        let held = self.document.as_ref().map_or(0, |(version, _)| *version);
        if version > held && version > self.rejected_version {
            self.parts.caller.document(address, version);
        }
    }

    /// Applies a document if its version is higher than the one in force.
    pub(super) fn take_document(&mut self, version: u64, text: String, now: Stamp) {
        let held = self.document.as_ref().map_or(0, |(version, _)| *version);
        if version <= held || version <= self.rejected_version {
            return;
        }
        match Plan::parse_stored(&text, version) {
            Ok(plan) => {
                let plan = Arc::new(plan);
                let first = self.plan.is_none();
                self.document = Some((version, text));
                self.plan = Some(plan.clone());
                self.apply_plan(&plan, now);
                self.note_names(&plan);
                self.dirty = true;
                let source = "the store or a peer".to_owned();
                event::emit(LogEvent::ConfigurationApplied { version, source });
                self.parts.metrics.set_config_version(version);
                if first {
                    event::emit(LogEvent::ProcessReady { config_version: version });
                    self.discover(now);
                }
            }
            Err(error) => {
                self.rejected_version = version;
                let findings = error.to_string();
                event::emit(LogEvent::ConfigurationInvalid { version, findings });
            }
        }
    }

    fn note_names(&self, plan: &Plan) {
        let mut classes: Vec<_> =
            plan.routes.iter().map(|route| route.class.name.clone()).collect();
        classes.sort();
        classes.dedup();
        self.parts.metrics.set_names(&plan.tenants, &classes);
    }

    /// Reads what no peer tells: the document while there is none, and the members of silent failure domains.
    pub(super) fn discover(&mut self, now: Stamp) {
        let mut names: Vec<_> = self.roster.alive(now);
        names.push(self.parts.me.process.clone());
        names.sort();
        let watches = names.iter().take(WATCHERS).any(|name| *name == self.parts.me.process);
        self.parts.storage.set_watching(watches);
        if !watches {
            // What was read as a watcher is out of date from now on.
            self.leaving.clear();
            self.gone.clear();
        }
        if self.document.is_none() {
            self.parts.storage.read_document();
        }
        for domain in self.other_domains() {
            if self.directory.of_domain(&domain).is_empty() {
                self.parts.storage.read_domain(domain);
            }
        }
        if !self.store.reachable {
            self.parts.storage.read_domain(self.parts.me.domain.clone());
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.plan.is_some() && self.stopping.is_none()
    }
}
