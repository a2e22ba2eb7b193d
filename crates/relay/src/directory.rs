//! The directory: the plan in force and the coordinator of each group.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::watch;

use caraway_admission::controller::Controller;
use caraway_call::ledger::Ledger;
use caraway_core::name;
use caraway_document::plan::Class;
use caraway_document::plan::Group;
use caraway_document::plan::Plan;

use crate::observe;

/// A group that this instance coordinates.
#[derive(Clone, Debug)]
pub struct Local {
    /// Queues and permits of the group's targets.
    pub admission: Arc<Controller>,
    /// Term under which this instance coordinates the group.
    pub term: u64,
    /// Ledger of the group's non-repeatable requests.
    pub ledger: Arc<Mutex<Ledger>>,
}

impl Local {
    /// Returns the locked ledger. The lock must not be held across a wait.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A group that another instance coordinates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Remote {
    /// Instance that coordinates the group.
    pub instance: name::Instance,
    /// Address of its peer listener.
    pub peer_address: SocketAddr,
    /// Term under which it coordinates the group.
    pub term: u64,
    /// Utilization of the group's queue in percent, as last reported.
    pub queue_percent: u32,
}

/// Coordinator of a group, as this instance knows it.
#[derive(Clone, Debug)]
pub enum Coordinator {
    /// This instance.
    Local(Local),
    /// Another instance.
    Remote(Remote),
    /// No coordinator of the group is currently known.
    Unknown,
}

impl Coordinator {
    /// Returns the term of the group's coordinator, if one is known.
    pub fn term(&self) -> Option<u64> {
        match self {
            Self::Local(local) => Some(local.term),
            Self::Remote(remote) => Some(remote.term),
            Self::Unknown => None,
        }
    }

    /// Returns the utilization of the group's queue in percent, if a coordinator is known.
    pub fn queue_percent(&self) -> Option<u32> {
        match self {
            Self::Local(local) => Some(local.admission.queue_percent()),
            Self::Remote(remote) => Some(remote.queue_percent),
            Self::Unknown => None,
        }
    }
}

/// The plan in force and the coordinator of each group at one moment.
#[derive(Debug)]
pub struct Snapshot {
    plan: Arc<Plan>,
    coordinators: HashMap<name::Group, Coordinator>,
    services: HashMap<name::Service, Vec<Arc<Group>>>,
    classes: HashMap<name::Class, Arc<Class>>,
    tenants: HashSet<Arc<str>>,
}

impl Snapshot {
    /// Makes a snapshot. The coordinator of a group that `coordinators` does not list is unknown.
    pub fn new(plan: Arc<Plan>, coordinators: HashMap<name::Group, Coordinator>) -> Self {
        let mut services: HashMap<_, Vec<_>> = HashMap::new();
        for group in &plan.groups {
            services.entry(group.service.name.clone()).or_default().push(group.clone());
        }
        let classes =
            plan.routes.iter().map(|route| (route.class.name.clone(), route.class.clone()));
        let classes = classes.collect();
        let tenants = plan.tenants.iter().map(|tenant| Arc::from(tenant.as_str())).collect();
        Self { plan, coordinators, services, classes, tenants }
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Returns the coordinator of a group.
    pub fn coordinator(&self, group: &name::Group) -> &Coordinator {
        self.coordinators.get(group).unwrap_or(&Coordinator::Unknown)
    }

    /// Returns the coordinators of the listed groups.
    pub fn coordinators(&self) -> &HashMap<name::Group, Coordinator> {
        &self.coordinators
    }

    /// Returns the groups of a service in document order.
    pub fn groups(&self, service: &name::Service) -> &[Arc<Group>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the metrics label of a tenant: its name if the document lists it, otherwise `other`.
    pub fn tenant_label(&self, tenant: &name::Tenant) -> Arc<str> {
        observe::tenant_label(tenant.as_str(), &self.tenants)
    }

    /// Returns the call class with a name.
    pub fn class(&self, name: &str) -> Option<&Arc<Class>> {
        self.classes.get(name)
    }
}

/// Receiver that is notified of new snapshots.
pub type Changes = watch::Receiver<Option<Arc<Snapshot>>>;

/// Holder of the current snapshot, which the control plane replaces as a whole.
#[derive(Debug)]
pub struct Directory {
    current: watch::Sender<Option<Arc<Snapshot>>>,
}

impl Default for Directory {
    fn default() -> Self {
        Self { current: watch::Sender::new(None) }
    }
}

impl Directory {
    /// Makes a directory without a snapshot. The instance is not ready until it has one.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current snapshot, if there is one.
    pub fn current(&self) -> Option<Arc<Snapshot>> {
        self.current.borrow().clone()
    }

    /// Replaces the snapshot and wakes the calls that wait for a change.
    pub fn replace(&self, snapshot: Arc<Snapshot>) {
        self.current.send_replace(Some(snapshot));
    }

    /// Returns a receiver that is notified of every later replacement.
    pub fn changes(&self) -> Changes {
        self.current.subscribe()
    }
}
