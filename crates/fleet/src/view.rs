//! Owners of keys as the coordinator tells them to the instances.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::coordinator::Served;
use crate::coordinator::Tables;
use crate::membership::Incarnation;
use crate::ownership::Holding;
use crate::ownership::Table;

/// Keys with their owner. On the way to other instances it is an array of its four fields: a table has
/// hundreds of them, and every instance gets every change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u16, u16, usize, bool)", into = "(u16, u16, usize, bool)")]
pub struct Span {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Index of the owner in [`Owners::incarnations`].
    pub owner: usize,
    /// Whether the owner has confirmed its grant. Until then requests for the keys wait.
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
    /// The owners.
    #[serde(rename = "lives")]
    pub incarnations: Vec<Incarnation>,
    /// Their keys in order.
    pub spans: Vec<Span>,
}

/// Version of a view: the revision at which its coordinator took over, and a number that the
/// coordinator counts up.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// Revision of the store at which the coordinator took over.
    pub term: u64,
    /// Number of the change in this term.
    pub change: u64,
}

/// Owners of all keyed services.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct View {
    /// Version; a higher one replaces a lower one.
    pub version: Version,
    /// Name of the coordinator.
    pub coordinator: Arc<str>,
    /// Owners by service.
    pub services: BTreeMap<Arc<str>, Owners>,
}

/// What is new in a view.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Change {
    /// Version that the change applies to.
    pub from: Version,
    /// Version that it leads to.
    pub to: Version,
    /// Name of the coordinator.
    pub coordinator: Arc<str>,
    /// Spans that replace what was known of their keys, by service.
    pub services: BTreeMap<Arc<str>, Owners>,
}

impl View {
    /// Returns what is new since another view.
    pub fn changes_since(&self, other: &Self) -> Change {
        let mut services = BTreeMap::new();
        for (service, owners) in &self.services {
            let changed = match other.services.get(service) {
                Some(before) => owners.since(before),
                None => owners.clone(),
            };
            if !changed.spans.is_empty() {
                services.insert(service.clone(), changed);
            }
        }
        let coordinator = self.coordinator.clone();
        Change { from: other.version, to: self.version, coordinator, services }
    }

    /// Returns the view after a change, or none if the change applies to another version.
    pub fn with_change(&self, change: &Change) -> Option<Self> {
        if change.from != self.version {
            return None;
        }
        let mut services = self.services.clone();
        for (service, owners) in &change.services {
            services.entry(service.clone()).or_default().replace(owners);
        }
        let coordinator = change.coordinator.clone();
        Some(Self { version: change.to, coordinator, services })
    }

    /// Makes a view from tables in the store, for the time before the coordinator's first message.
    /// Its version is lower than that of any coordinator.
    pub fn from_tables(tables: &Tables, revision: u64) -> Self {
        let owners = |table: &Table| {
            let settled = |holding: &Holding| (holding.clone(), holding.earlier.is_empty());
            Owners::new(&table.holdings.iter().map(settled).collect::<Vec<_>>())
        };
        let services = tables.iter().map(|(service, table)| (service.clone(), owners(table)));
        let version = Version { term: 0, change: revision };
        Self { version, coordinator: "".into(), services: services.collect() }
    }
}

/// Puts owners together from keys in order.
#[derive(Default)]
struct Builder {
    owners: Owners,
    known: HashMap<Incarnation, usize>,
}

impl Builder {
    fn add(&mut self, first: u16, last: u16, life: &Incarnation, granted: bool) {
        let owner = match self.known.get(life) {
            Some(owner) => *owner,
            None => {
                let owner = self.owners.incarnations.len();
                self.owners.incarnations.push(life.clone());
                self.known.insert(life.clone(), owner);
                owner
            }
        };
        self.owners.spans.push(Span { first, last, owner, granted });
    }
}

impl Owners {
    /// Makes the owners from holdings, each with whether its grant is confirmed.
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

    /// Returns the spans that are not the same in `before`.
    fn since(&self, before: &Self) -> Self {
        let known: HashMap<(u16, u16), (&Incarnation, bool)> = before
            .rows()
            .map(|(span, life)| ((span.first, span.last), (life, span.granted)))
            .collect();
        let mut changed = Builder::default();
        for (span, life) in self.rows() {
            if known.get(&(span.first, span.last)) != Some(&(life, span.granted)) {
                changed.add(span.first, span.last, life, span.granted);
            }
        }
        changed.owners
    }

    /// Puts spans in the place of what is known of their keys. It goes once through both: every
    /// instance does this for every change of a large table.
    fn replace(&mut self, changed: &Self) {
        let mut builder = Builder::default();
        let mut new = changed.rows().peekable();
        // First key behind the latest new span.
        let mut next = 0_u32;
        for (span, life) in self.rows() {
            while let Some((put, owner)) = new.next_if(|(put, _)| put.first <= span.last) {
                let first = u32::from(span.first).max(next);
                if let (Ok(first), Some(last)) = (u16::try_from(first), put.first.checked_sub(1))
                    && first <= last
                {
                    builder.add(first, last, life, span.granted);
                }
                builder.add(put.first, put.last, owner, put.granted);
                next = u32::from(put.last) + 1;
            }
            if let Ok(first) = u16::try_from(u32::from(span.first).max(next))
                && first <= span.last
            {
                builder.add(first, span.last, life, span.granted);
            }
        }
        for (put, owner) in new {
            builder.add(put.first, put.last, owner, put.granted);
        }
        *self = builder.owners;
    }

    /// Returns the owner of a key and whether its grant is confirmed.
    pub fn find(&self, key: u16) -> Option<(&Incarnation, bool)> {
        let span = self.span(key)?;
        self.incarnations.get(span.owner).map(|life| (life, span.granted))
    }

    /// Returns the span that a key belongs to.
    pub fn span(&self, key: u16) -> Option<&Span> {
        let index = self.spans.partition_point(|span| span.last < key);
        self.spans.get(index).filter(|span| span.first <= key)
    }
}
