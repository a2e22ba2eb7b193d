//! Owners of keys as the coordinator tells them to the instances.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::coordinator::Served;
use crate::coordinator::Tables;
use crate::membership::Life;
use crate::ownership::Holding;
use crate::ownership::Table;

/// Keys with their owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Index of the owner in [`Owners::lives`].
    pub owner: usize,
    /// Whether the owner has confirmed its grant. Until then requests for the keys wait.
    pub granted: bool,
}

/// Owners of the keys of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owners {
    /// The owners.
    pub lives: Vec<Life>,
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
    pub fn since(&self, other: &Self) -> Change {
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
    pub fn after(&self, change: &Change) -> Option<Self> {
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
    pub fn stored(tables: &Tables, revision: u64) -> Self {
        let owners = |table: &Table| {
            let settled = |holding: &Holding| (holding.clone(), holding.earlier.is_empty());
            Owners::new(&table.holdings.iter().map(settled).collect::<Vec<_>>())
        };
        let services = tables.iter().map(|(service, table)| (service.clone(), owners(table)));
        let version = Version { term: 0, change: revision };
        Self { version, coordinator: "".into(), services: services.collect() }
    }
}

impl Owners {
    /// Makes the owners from holdings, each with whether its grant is confirmed.
    pub fn new(holdings: &[Served]) -> Self {
        let mut owners = Self::default();
        for (holding, granted) in holdings {
            owners.add(holding.first, holding.last, &holding.owner, *granted);
        }
        owners
    }

    fn add(&mut self, first: u16, last: u16, life: &Life, granted: bool) {
        let known = self.lives.iter().position(|known| known == life);
        let owner = known.unwrap_or_else(|| {
            self.lives.push(life.clone());
            self.lives.len() - 1
        });
        self.spans.push(Span { first, last, owner, granted });
    }

    fn rows(&self) -> impl Iterator<Item = (&Span, &Life)> {
        self.spans.iter().filter_map(|span| Some((span, self.lives.get(span.owner)?)))
    }

    /// Returns the spans that are not the same in `before`.
    fn since(&self, before: &Self) -> Self {
        let known: HashMap<(u16, u16), (&Life, bool)> = before
            .rows()
            .map(|(span, life)| ((span.first, span.last), (life, span.granted)))
            .collect();
        let mut changed = Self::default();
        for (span, life) in self.rows() {
            if known.get(&(span.first, span.last)) != Some(&(life, span.granted)) {
                changed.add(span.first, span.last, life, span.granted);
            }
        }
        changed
    }

    /// Puts spans in the place of what is known of their keys.
    fn replace(&mut self, changed: &Self) {
        let mut rows: Vec<(u16, u16, Life, bool)> = Vec::new();
        for (span, life) in self.rows() {
            let mut parts = vec![(span.first, span.last)];
            for new in &changed.spans {
                parts = parts.into_iter().flat_map(|part| cut(part, new)).collect();
            }
            rows.extend(parts.into_iter().map(|(a, b)| (a, b, life.clone(), span.granted)));
        }
        for (span, life) in changed.rows() {
            rows.push((span.first, span.last, life.clone(), span.granted));
        }
        rows.sort_by_key(|(first, ..)| *first);
        *self = Self::default();
        for (first, last, life, granted) in rows {
            self.add(first, last, &life, granted);
        }
    }

    /// Returns the owner of a key and whether its grant is confirmed.
    pub fn find(&self, key: u16) -> Option<(&Life, bool)> {
        let index = self.spans.partition_point(|span| span.last < key);
        let span = self.spans.get(index).filter(|span| span.first <= key)?;
        self.lives.get(span.owner).map(|life| (life, span.granted))
    }
}

/// Returns what is left of some keys without those of a span.
fn cut((first, last): (u16, u16), span: &Span) -> Vec<(u16, u16)> {
    if last < span.first || span.last < first {
        return vec![(first, last)];
    }
    let mut rest = Vec::new();
    if first < span.first {
        rest.push((first, span.first - 1));
    }
    if span.last < last {
        rest.push((span.last + 1, last));
    }
    rest
}
