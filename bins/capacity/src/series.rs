//! Series of environment sizes, each varying one factor.

use serde::Serialize;

use crate::size::Size;

/// Factor that a series varies.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Factor {
    /// Number of targets that one entry instance coordinates.
    Targets,
    /// Number of groups in a failure domain with three entry instances.
    Groups,
    /// Number of entry instances in a failure domain.
    Instances,
    /// Number of failure domains.
    Domains,
    /// Number of shards of a group with 16 targets.
    Shards,
    /// Length of the document, as a number of routes of 200 bytes.
    Document,
    /// Number of idle caller connections to one entry instance.
    Idle,
    /// Repeatable requests per second, half of which a forwarder relays to the coordinator.
    Rate,
    /// Orders per second, in a failure domain with three entry instances.
    Orders,
    /// Promotions per second of a document with 300 routes, with six entry instances.
    Changes,
}

impl Factor {
    /// All factors.
    pub const ALL: [Self; 10] = [
        Self::Targets,
        Self::Groups,
        Self::Instances,
        Self::Domains,
        Self::Shards,
        Self::Document,
        Self::Idle,
        Self::Rate,
        Self::Orders,
        Self::Changes,
    ];

    /// Returns the name of the factor in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Targets => "targets",
            Self::Groups => "groups",
            Self::Instances => "instances",
            Self::Domains => "domains",
            Self::Shards => "shards",
            Self::Document => "document",
            Self::Idle => "idle",
            Self::Rate => "rate",
            Self::Orders => "orders",
            Self::Changes => "changes",
        }
    }

    /// Returns the measured values of the factor in ascending order.
    fn values(self) -> &'static [u32] {
        match self {
            Self::Targets => &[4, 16, 48, 96],
            Self::Groups => &[4, 12, 24],
            Self::Instances => &[2, 6, 12, 18],
            Self::Domains => &[1, 2, 4, 8],
            Self::Shards => &[64, 1024, 8192],
            Self::Document => &[0, 300, 900],
            Self::Idle => &[0, 500, 1000, 2000],
            Self::Rate => &[250, 500, 1000, 2000],
            Self::Orders => &[50, 100, 200],
            Self::Changes => &[1, 2, 4],
        }
    }

    /// Returns the values of the factor with the environment size for each.
    pub fn sizes(self) -> Vec<(f64, Size)> {
        self.values().iter().map(|value| (f64::from(*value), self.size(*value))).collect()
    }

    fn size(self, value: u32) -> Size {
        let count = usize::try_from(value).unwrap_or(usize::MAX);
        let base = Size::default();
        match self {
            Self::Targets => Size { instances: 1, targets: count, ..base },
            Self::Groups => Size { instances: 3, services: count, targets: 1, ..base },
            Self::Instances => Size { instances: count, targets: 8, ..base },
            Self::Domains => Size { domains: count, targets: 2, ..base },
            Self::Shards => Size { instances: 1, targets: 16, shards: value, ..base },
            Self::Document => Size { padding: count, ..base },
            Self::Idle => Size { instances: 1, idle: count, ..base },
            Self::Rate => Size { targets: 16, rate: f64::from(value), ..base },
            Self::Orders => Size { instances: 3, rate: 0.0, orders: f64::from(value), ..base },
            Self::Changes => Size { instances: 6, padding: 300, rate: 0.0, changes: value, ..base },
        }
    }
}
