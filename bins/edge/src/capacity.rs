//! This instance's part of the capacity of a service.

use std::sync::Arc;

use caraway_core::time::Stamp;
use caraway_fleet::classes::Classes;
use caraway_fleet::rendezvous::Domains;
use caraway_fleet::share::Share;

use crate::state::State;

impl State {
    /// Returns the failure domains of the known instances, including this one.
    pub fn domains(&self) -> Domains {
        let instances = self.instances.borrow();
        let known = instances.iter().map(|(name, known)| (name.clone(), known.domain.clone()));
        let this = (self.settings.name.clone(), self.settings.domain.clone());
        known.chain(std::iter::once(this)).collect()
    }

    /// Returns this instance's share of the targets of a service without keys, or `None` if they
    /// are not divided among the instances.
    pub fn share(&self, service: &Arc<str>, now: Stamp) -> Option<Arc<Share>> {
        let lists = || {
            let registry = self.registry.borrow();
            let evacuations = self.evacuations.borrow();
            let listed = registry
                .members()
                .filter(|member| member.target.service == *service)
                .filter(|member| member.draining_since.is_none())
                .filter(|member| !evacuations.is_evacuated(&member.target.domain));
            (listed.map(|member| member.target.clone()).collect(), self.domains())
        };
        self.shares.borrow_mut().get(service, &self.settings.name, lists, now)
    }

    /// Returns whether the targets of a service are divided among the instances, as far as requests
    /// of this instance have shown.
    pub fn is_divided(&self, service: &str) -> bool {
        self.shares.borrow().is_divided(service)
    }

    /// Calls a function with the classes of the requests of a service.
    pub fn with_classes<T>(
        &self,
        service: &Arc<str>,
        operate: impl FnOnce(&mut Classes) -> T,
    ) -> T {
        operate(self.classes.borrow_mut().entry(service.clone()).or_default())
    }
}
