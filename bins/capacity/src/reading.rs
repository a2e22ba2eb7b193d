//! What the processes of an environment have used up to one moment.

use std::collections::BTreeMap;
use std::time::Instant;

use caraway_demo::environment::Environment;
use caraway_demo::environment::Kind;
use caraway_load::process;
use caraway_load::process::Usage;

use crate::errors::Error;
use crate::errors::Result;
use crate::exposition;

/// Values of a process by name: rates per second, or sizes.
pub type Measures = BTreeMap<String, f64>;

/// Counters of one entry instance.
#[derive(Clone, Debug)]
struct Counters {
    at: Instant,
    counts: Measures,
    groups: f64,
}

/// A reading of every process.
#[derive(Clone, Debug)]
pub struct Reading {
    at: Instant,
    usage: BTreeMap<String, Usage>,
    counters: BTreeMap<String, Counters>,
}

/// Name of the platform among the processes.
pub const PLATFORM: &str = "platform";
/// Name of this process, which plays the callers.
pub const CALLERS: &str = "callers";

impl Reading {
    /// Reads usage and counters. The counters are read outside of the window of the CPU time, because an
    /// answer of the admin interface costs CPU time itself.
    pub fn take(environment: &Environment, begins: bool) -> Result<Self> {
        let mut counters = BTreeMap::new();
        let mut usage = BTreeMap::new();
        if begins {
            counters = read_counters(environment)?;
        }
        let at = Instant::now();
        for (name, id) in ids(environment)? {
            let found = process::usage(id).ok_or_else(|| Error::Usage(name.clone()))?;
            usage.insert(name, found);
        }
        if !begins {
            counters = read_counters(environment)?;
        }
        Ok(Self { at, usage, counters })
    }

    /// Returns the names of the entry instances that hold groups.
    pub fn coordinators(&self) -> Vec<String> {
        let held = self.counters.iter().filter(|(_, counters)| counters.groups > 0.0);
        held.map(|(name, _)| name.clone()).collect()
    }

    /// Returns what a process used in each second between two readings.
    pub fn since(&self, earlier: &Self, name: &str) -> Option<Measures> {
        let (now, then) = (self.usage.get(name)?, earlier.usage.get(name)?);
        let seconds = self.at.duration_since(earlier.at).as_secs_f64();
        let mut measures = Measures::new();
        let cpu = now.cpu_ms.saturating_sub(then.cpu_ms);
        measures.insert("cpu ms/s".to_owned(), number(cpu) / seconds);
        measures.insert("rss KiB".to_owned(), number(now.resident_kib));
        if let (Some(now), Some(then)) = (self.counters.get(name), earlier.counters.get(name)) {
            measures.extend(rates(now, then));
        }
        Some(measures)
    }
}

fn ids(environment: &Environment) -> Result<Vec<(String, u32)>> {
    let mut ids = vec![(CALLERS.to_owned(), std::process::id())];
    if let Some(id) = environment.platform_process_id() {
        ids.push((PLATFORM.to_owned(), id));
    }
    for kind in [Kind::Entry, Kind::Target] {
        for name in environment.names(kind) {
            let id = environment.process_id(&name).ok_or_else(|| Error::Usage(name.clone()))?;
            ids.push((name, id));
        }
    }
    Ok(ids)
}

fn read_counters(environment: &Environment) -> Result<BTreeMap<String, Counters>> {
    let mut all = BTreeMap::new();
    for name in environment.names(Kind::Entry) {
        let text = environment.admin_text(&name, "/metrics")?;
        let at = Instant::now();
        let mut counts = Measures::new();
        let families = [
            ("caraway_control_messages_total", "kind", "messages"),
            ("caraway_control_sent_bytes_total", "kind", "bytes"),
            ("caraway_store_calls_total", "kind", "store"),
        ];
        for (metric, label, prefix) in families {
            for (value, count) in exposition::by_label(&text, metric, label) {
                counts.insert(format!("{prefix} {value}"), count);
            }
        }
        let groups = exposition::sum(&text, "caraway_groups_held");
        all.insert(name, Counters { at, counts, groups });
    }
    Ok(all)
}

fn rates(now: &Counters, then: &Counters) -> Measures {
    let seconds = now.at.duration_since(then.at).as_secs_f64();
    let mut rates = Measures::new();
    for (name, count) in &now.counts {
        let rate = (count - then.counts.get(name).copied().unwrap_or(0.0)) / seconds;
        rates.insert(format!("{name}/s"), rate);
        if let Some((family, _)) = name.split_once(' ') {
            *rates.entry(format!("{family}/s")).or_insert(0.0) += rate;
        }
    }
    let heartbeats = rates.get("messages heartbeat/s").copied().unwrap_or(0.0);
    if heartbeats > 0.0 {
        let bytes = rates.get("bytes heartbeat/s").copied().unwrap_or(0.0);
        rates.insert("bytes of a heartbeat".to_owned(), bytes / heartbeats);
    }
    rates.insert("groups held".to_owned(), now.groups);
    rates
}

fn number(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
