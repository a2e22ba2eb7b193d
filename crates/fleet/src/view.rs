//! Owners of keys as published by the coordinator to the instances.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::coordinator::Served;
use crate::coordinator::Tables;
use crate::era::Revision;
use crate::membership::Incarnation;
use crate::ownership::Holding;
use crate::ownership::Table;

/// Range of keys with its owner. It is serialized as an array of its four fields, since a table has
/// hundreds of ranges and every change is sent to every instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u16, u16, usize, bool)", into = "(u16, u16, usize, bool)")]
pub struct Span {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Index of the owner in [`Owners::incarnations`].
    pub owner: usize,
    /// Whether the owner has confirmed its grant. Requests for the keys wait until it has.
    pub granted: bool,
}

impl From<(u16, u16, usize, bool)> for Span {
    fn from((first, last, owner, granted): (u16, u16, usize, bool)) -> Self {
        Self { first, last, owner, granted }
    }
}

impl From<Span> for (u16, u16, usize, bool) {
    fn from(span: Span) -> Self {
        (span.first, span.last, span.owner, span.granted)
    }
}

/// Owners of the keys of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owners {
    /// Incarnations of the owners.
    #[serde(rename = "lives")]
    pub incarnations: Vec<Incarnation>,
    /// Ranges in key order.
    pub spans: Vec<Span>,
}

/// Version of a view: the revision at which its coordinator took over, and a counter of the
/// coordinator.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// Revision of the store at which the coordinator took over.
    pub term: Revision,
    /// Number of the change within this term.
    pub change: u64,
}

/// Owners of all keyed services.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct View {
    /// Version of the view; a higher one replaces a lower one.
    pub version: Version,
    /// Name of the coordinator.
    pub coordinator: Arc<str>,
    /// Owners by service.
    pub services: BTreeMap<Arc<str>, Owners>,
    /// Highest fencing token of each service that was ever assigned.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fences: BTreeMap<Arc<str>, u64>,
}

/// Difference between two versions of a view.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Change {
    /// Version to which the change applies.
    pub from: Version,
    /// Version after the change.
    pub to: Version,
    /// Name of the coordinator.
    pub coordinator: Arc<str>,
    /// Changed ranges by service. They replace all earlier ranges of their keys.
    pub services: BTreeMap<Arc<str>, Owners>,
    /// Highest fencing token of each service that was ever assigned.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fences: BTreeMap<Arc<str>, u64>,
}

impl View {
    /// Returns the difference from another view to this one.
    pub fn changes_since(&self, other: &Self) -> Change {
        let mut services = BTreeMap::new();
        for (service, owners) in &self.services {
            let changed = match other.services.get(service) {
                Some(before) => owners.changes_since(before),
                None => owners.clone(),
            };
            if !changed.spans.is_empty() {
                services.insert(service.clone(), changed);
            }
        }
        let coordinator = self.coordinator.clone();
        let fences = self.fences.clone();
        Change { from: other.version, to: self.version, coordinator, services, fences }
    }

    /// Returns the view after a change, or `None` if the change applies to another version.
    pub fn with_change(&self, change: &Change) -> Option<Self> {
        if change.from != self.version {
            return None;
        }
        let mut services = self.services.clone();
        for (service, owners) in &change.services {
            services.entry(service.clone()).or_default().replace(owners);
        }
        let coordinator = change.coordinator.clone();
        let fences = change.fences.clone();
        Some(Self { version: change.to, coordinator, services, fences })
    }

    /// Creates a view from stored tables, which is used until the first message of the coordinator.
    /// Its version is lower than that of any coordinator.
    pub fn from_tables(tables: &Tables, revision: Revision) -> Self {
        let owners = |table: &Table| {
            let settled = |holding: &Holding| (holding.clone(), holding.earlier.is_empty());
            Owners::new(&table.holdings.iter().map(settled).collect::<Vec<_>>())
        };
        let services = tables.iter().map(|(service, table)| (service.clone(), owners(table)));
        // The first field of a term is its era, so an era of its own would be above a coordinator's.
        let version = Version { term: Revision::default(), change: revision.number };
        let fences = tables.iter().map(|(service, table)| (service.clone(), table.fence)).collect();
        Self { version, coordinator: "".into(), services: services.collect(), fences }
    }
}

/// Maximum number of changes and of their ranges in a [`Log`]. Several seconds of changes fit; an
/// instance that lacks more gets the whole view.
const MAX_CHANGES: usize = 256;
const MAX_SPANS: usize = 4096;

/// Consecutive changes up to the current view, for instances whose view is a little older.
#[derive(Clone, Debug, Default)]
pub struct Log {
    changes: VecDeque<Change>,
    /// Number of ranges in the changes.
    spans: usize,
}

impl Change {
    fn span_count(&self) -> usize {
        self.services.values().map(|owners| owners.spans.len()).sum()
    }
}

impl Log {
    /// Adds a change. Earlier changes are dropped unless it is based on the latest of them.
    pub fn add(&mut self, change: Change) {
        if self.changes.back().is_some_and(|latest| latest.to != change.from) {
            self.changes.clear();
            self.spans = 0;
        }
        self.spans += change.span_count();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.spans > MAX_SPANS {
            let Some(dropped) = self.changes.pop_front() else { break };
            self.spans -= dropped.span_count();
        }
    }

    /// Returns the difference between two versions, or `None` if the log does not contain it.
    pub fn between(&self, from: Version, to: Version) -> Option<Change> {
        if self.changes.back()?.to != to {
            return None;
        }
        let start = self.changes.iter().position(|change| change.from == from)?;
        let mut changes = self.changes.iter().skip(start);
        let mut sum = changes.next()?.clone();
        for change in changes {
            sum.to = change.to;
            sum.coordinator = change.coordinator.clone();
            sum.fences = change.fences.clone();
            for (service, owners) in &change.services {
                sum.services.entry(service.clone()).or_default().replace(owners);
            }
        }
        Some(sum)
    }
}

/// Collects ranges in key order and numbers their owners.
#[derive(Default)]
struct Builder {
    owners: Owners,
    indexes: HashMap<Incarnation, usize>,
}

impl Builder {
    fn add(&mut self, first: u16, last: u16, incarnation: &Incarnation, granted: bool) {
        let owner = match self.indexes.get(incarnation) {
            Some(owner) => *owner,
            None => {
                let owner = self.owners.incarnations.len();
                self.owners.incarnations.push(incarnation.clone());
                self.indexes.insert(incarnation.clone(), owner);
                owner
            }
        };
        self.owners.spans.push(Span { first, last, owner, granted });
    }
}

impl Owners {
    /// Creates owners from holdings, each with whether its grant is confirmed.
    pub fn new(holdings: &[Served]) -> Self {
        let mut builder = Builder::default();
        for (holding, granted) in holdings {
            builder.add(holding.first, holding.last, &holding.owner, *granted);
        }
        builder.owners
    }

    fn rows(&self) -> impl Iterator<Item = (&Span, &Incarnation)> {
        self.spans.iter().filter_map(|span| Some((span, self.incarnations.get(span.owner)?)))
    }

    /// Returns the ranges that differ from those in `before`.
    fn changes_since(&self, before: &Self) -> Self {
        let previous: HashMap<(u16, u16), (&Incarnation, bool)> = before
            .rows()
            .map(|(span, incarnation)| ((span.first, span.last), (incarnation, span.granted)))
            .collect();
        let mut changed = Builder::default();
        for (span, incarnation) in self.rows() {
            if previous.get(&(span.first, span.last)) != Some(&(incarnation, span.granted)) {
                changed.add(span.first, span.last, incarnation, span.granted);
            }
        }
        changed.owners
    }

    /// Replaces the earlier ranges of changed keys. This is a single pass over both lists, since
    /// every instance does it for every change of a large table.
    fn replace(&mut self, changed: &Self) {
        let mut builder = Builder::default();
        let mut updates = changed.rows().peekable();
        // First key after the latest changed range.
        let mut next = 0_u32;
        for (span, incarnation) in self.rows() {
            while let Some((update, owner)) =
                updates.next_if(|(update, _)| update.first <= span.last)
            {
                let first = u32::from(span.first).max(next);
                if let (Ok(first), Some(last)) = (u16::try_from(first), update.first.checked_sub(1))
                    && first <= last
                {
                    builder.add(first, last, incarnation, span.granted);
                }
                builder.add(update.first, update.last, owner, update.granted);
                next = u32::from(update.last) + 1;
            }
            if let Ok(first) = u16::try_from(u32::from(span.first).max(next))
                && first <= span.last
            {
                builder.add(first, span.last, incarnation, span.granted);
            }
        }
        for (update, owner) in updates {
            builder.add(update.first, update.last, owner, update.granted);
        }
        *self = builder.owners;
    }

    /// Returns the owner of a key and whether its grant is confirmed.
    pub fn find(&self, key: u16) -> Option<(&Incarnation, bool)> {
        let span = self.span(key)?;
        self.incarnations.get(span.owner).map(|incarnation| (incarnation, span.granted))
    }

    /// Returns the range that contains a key.
    pub fn span(&self, key: u16) -> Option<&Span> {
        let index = self.spans.partition_point(|span| span.last < key);
        self.spans.get(index).filter(|span| span.first <= key)
    }
}
