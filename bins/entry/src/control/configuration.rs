//! The environment document: distribution between instances and application of new versions.

use std::net::SocketAddr;
use std::sync::Arc;

use caraway_core::time::Stamp;
use caraway_document::plan::Plan;
use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;

use super::Control;

/// Number of instances of the failure domain, first in name order, that watch the store for all
/// others.
const WATCHERS: usize = 2;

impl Control {
    /// Requests the document from a peer that announces a higher version.
    pub(super) fn request_newer_document(&mut self, version: u64, address: SocketAddr) {
        let current = self.document.as_ref().map_or(0, |(version, _)| *version);
        if version > current && version > self.rejected_version {
            self.context.peers.request_document(address, version);
        }
    }

    /// Applies a document if its version is higher than the one in force.
    pub(super) fn apply_document(&mut self, version: u64, text: String, now: Stamp) {
        let current = self.document.as_ref().map_or(0, |(version, _)| *version);
        if version <= current || version <= self.rejected_version {
            return;
        }
        match Plan::parse_stored(&text, version) {
            Ok(plan) => {
                let plan = Arc::new(plan);
                let first = self.plan.is_none();
                self.document = Some((version, text));
                self.plan = Some(plan.clone());
                self.apply_plan(&plan, now);
                self.set_metric_names(&plan);
                self.dirty = true;
                let source = "the store or a peer".to_owned();
                event::emit(LogEvent::ConfigurationApplied { version, source });
                self.context.metrics.set_config_version(version);
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

    fn set_metric_names(&self, plan: &Plan) {
        let mut classes: Vec<_> =
            plan.routes.iter().map(|route| route.class.name.clone()).collect();
        classes.sort();
        classes.dedup();
        self.context.metrics.set_names(&plan.tenants, &classes);
    }

    /// Reads from the store what no peer provides: the document until one is known, and the members
    /// of failure domains that send no heartbeats. Also decides whether this instance watches the
    /// store.
    pub(super) fn discover(&mut self, now: Stamp) {
        let mut processes: Vec<_> = self.roster.alive(now);
        processes.push(self.context.me.process.clone());
        processes.sort();
        let watches =
            processes.iter().take(WATCHERS).any(|process| *process == self.context.me.process);
        self.context.storage.set_watching(watches);
        if !watches {
            // The lists that this instance read as a watcher are no longer kept up to date.
            self.leaving.clear();
            self.gone.clear();
        }
        if self.document.is_none() {
            self.context.storage.read_document();
        }
        for domain in self.other_domains() {
            if self.directory.of_domain(&domain).is_empty() {
                self.context.storage.read_domain(domain);
            }
        }
        if !self.store.reachable {
            self.context.storage.read_domain(self.context.me.domain.clone());
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.plan.is_some() && self.stopping.is_none()
    }
}
