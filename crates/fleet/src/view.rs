//! Owners of keys as the coordinator tells them to the instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

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

impl View {
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
    pub fn new(holdings: &[(Holding, bool)]) -> Self {
        let mut owners = Self::default();
        for (holding, granted) in holdings {
            let known = owners.lives.iter().position(|life| *life == holding.owner);
            let owner = known.unwrap_or_else(|| {
                owners.lives.push(holding.owner.clone());
                owners.lives.len() - 1
            });
            let (first, last, granted) = (holding.first, holding.last, *granted);
            owners.spans.push(Span { first, last, owner, granted });
        }
        owners
    }

    /// Returns the owner of a key and whether its grant is confirmed.
    pub fn find(&self, key: u16) -> Option<(&Life, bool)> {
        let index = self.spans.partition_point(|span| span.last < key);
        let span = self.spans.get(index).filter(|span| span.first <= key)?;
        self.lives.get(span.owner).map(|life| (life, span.granted))
    }
}
