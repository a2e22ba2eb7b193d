//! Messages between instances, as they are encoded.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::coordinator::Tables;
use caraway_fleet::era::Retirement;
use caraway_fleet::era::Revision;
use caraway_fleet::evacuation::Notice;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Target;
use caraway_fleet::view::Change as OwnersChange;
use caraway_fleet::view::Version;
use caraway_fleet::view::View;

use crate::state::Instance;

/// Path of a report.
pub const REPORT_PATH: &str = "/report";

/// Path of a change of the owners.
pub const OWNERS_PATH: &str = "/owners";

/// Path of the announcement of outstanding grants by a retiring coordinator.
pub const RETIRED_PATH: &str = "/retired";

/// Path of an announcement that an update is available, which makes the receiver report at once.
pub const ANNOUNCEMENT_PATH: &str = "/news";

/// A report to the coordinator.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Report {
    pub(super) name: Arc<str>,
    pub(super) config: u64,
    pub(super) revision: Revision,
    pub(super) owners: Version,
    pub(super) demand: BTreeMap<Arc<str>, Vec<(u16, u32)>>,
    /// For each target: in-flight requests, completed requests and their total service time in
    /// seconds, and failed requests.
    pub(super) loads: Vec<(Arc<str>, u32, u32, f64, u32)>,
    /// Crashes that the receiver does not have.
    pub(super) crashes: Crashes,
    /// Such crashes whose request had just completed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) crashes_after: Crashes,
    /// Position up to which crashes of the receiver were received.
    #[serde(default)]
    pub(super) crashes_received: Position,
    #[serde(default)]
    pub(super) departures: Departures,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) evacuations: Vec<Notice>,
    /// Whether the sender hears from no coordinator that is up to date.
    #[serde(default)]
    pub(super) seeking: bool,
}

/// Crashes: fingerprint of the request, target, start time of its incarnation, age in milliseconds, and
/// address of the caller if it is known.
pub(super) type Crashes = Vec<(u64, Arc<str>, u64, u64, Option<IpAddr>)>;

/// Position in the log of crashes of a process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(super) struct Position {
    /// Random number of the process, or zero.
    pub(super) epoch: u64,
    /// Position after the latest crash that was sent.
    pub(super) next: u64,
}

/// Targets that have recently announced their departure, and the milliseconds since.
pub(super) type Departures = Vec<(Incarnation, u64)>;

/// Response to a report: what the reporting instance does not know yet.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Update {
    pub(super) revision: Revision,
    pub(super) config: Option<String>,
    /// All owners, if the reporter's version is unknown here.
    pub(super) owners: Option<View>,
    /// Owners that have changed since the reporter's version.
    #[serde(default)]
    pub(super) owner_change: Option<OwnersChange>,
    /// For each target: in-flight requests of other instances, and mean service time in seconds.
    pub(super) loads: Vec<(Arc<str>, f64, f64)>,
    /// Failing targets with their failure ratios.
    pub(super) failing: Vec<(Arc<str>, f64)>,
    /// Overloaded owners of keys with the share of requests that they can serve.
    pub(super) shares: HashMap<Arc<str>, f64>,
    /// Crashes that the reporter does not have, and the position after them.
    pub(super) crashes: Crashes,
    /// Such crashes whose request had just completed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) crashes_after: Crashes,
    #[serde(default)]
    pub(super) crashes_sent: Position,
    #[serde(default)]
    pub(super) departures: Departures,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) evacuations: Vec<Notice>,
    /// Whether the responding instance is the coordinator.
    pub(super) leading: bool,
    /// Whether the responding instance is up to date with the store.
    pub(super) fresh: bool,
    /// Milliseconds since the responding instance last heard from the store.
    #[serde(default)]
    pub(super) age_ms: u64,
    pub(super) targets: Option<Targets>,
    /// All registered instances, if one has changed since the reporter's revision.
    pub(super) instances: Option<BTreeMap<Arc<str>, Instance>>,
    /// Name of the coordinator, if there is one, and the revision of this information.
    pub(super) leader: (Option<Arc<str>>, Revision),
}

/// Targets that have changed since the revision of a report, or all targets.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct Targets {
    pub(super) all: bool,
    pub(super) listed: Vec<Target>,
    /// Revisions of the entries of the listed targets, in the same order.
    #[serde(default)]
    pub(super) revisions: Vec<Revision>,
    pub(super) gone: Vec<Arc<str>>,
    /// Draining targets among the listed ones, with the milliseconds since they were first seen draining.
    pub(super) leaving: Vec<(Arc<str>, u64)>,
    /// Listed targets whose entries have been missing since an outage of the store, with the
    /// milliseconds since.
    #[serde(default)]
    pub(super) missing: Vec<(Arc<str>, u64)>,
}

/// Announcement of the outstanding grants of a retiring coordinator.
#[derive(Debug, Deserialize, Serialize)]
pub struct RetirementNotice {
    /// Revision of the tables that the coordinator wrote last.
    pub(super) written: Revision,
    /// Targets, and the milliseconds for which they may still hold keys.
    pub(super) ends: Vec<(Incarnation, u64)>,
    /// Era whose beginning ended the term of the last coordinator of the era before.
    #[serde(default)]
    pub(super) next_era: Option<u64>,
    /// The latest tables, if `next_era` is set.
    #[serde(default, skip_serializing_if = "Tables::is_empty")]
    pub(super) tables: Tables,
}

impl RetirementNotice {
    /// Creates the announcement of a coordinator with the revision of the tables that it wrote last
    /// and the remaining times of its grants.
    pub fn new(
        written: Revision,
        grants: Vec<(Incarnation, Duration)>,
        next_era: Option<u64>,
        tables: Tables,
    ) -> Self {
        let ends = grants.into_iter().map(|(incarnation, left)| (incarnation, millis(left)));
        Self { written, ends: ends.collect(), next_era, tables }
    }

    /// Converts the announcement to the clock of this instance.
    pub fn received(self, now: Stamp) -> Retirement {
        let expiry = |(incarnation, left)| (incarnation, now + Duration::from_millis(left));
        Retirement {
            tables_revision: self.written,
            next_era: self.next_era,
            tables: self.tables,
            grant_expiries: self.ends.into_iter().map(expiry).collect(),
        }
    }
}
