//! Readings of the resource usage and the counters of all processes of an environment.

use std::collections::BTreeMap;
use std::time::Instant;

use caraway_demo::environment::Environment;
use caraway_demo::environment::Kind;
use caraway_load::process;
use caraway_load::process::Usage;

use crate::errors::Error;
use crate::errors::Result;
use crate::exposition;

/// Measured values of a process by name. Rates are per second.
pub type Measures = BTreeMap<String, f64>;

/// Counters of an entry instance.
#[derive(Clone, Debug)]
struct Counters {
    read_at: Instant,
    counts: Measures,
    groups_held: f64,
}

/// A reading of all processes.
#[derive(Clone, Debug)]
pub struct Reading {
    read_at: Instant,
    usage: BTreeMap<String, Usage>,
    counters: BTreeMap<String, Counters>,
}

/// Process name of the platform.
pub const PLATFORM: &str = "platform";
/// Process name of this program, which simulates the callers.
pub const CALLERS: &str = "callers";

impl Reading {
    /// Reads resource usage and counters at the start or the end of a window. The counters are read outside of
    /// the window, because reading them through the admin interface itself consumes CPU time.
    pub fn take(environment: &Environment, window_start: bool) -> Result<Self> {
        let mut counters = BTreeMap::new();
        let mut usage = BTreeMap::new();
        if window_start {
            counters = read_counters(environment)?;
        }
        let read_at = Instant::now();
        for (name, id) in process_ids(environment)? {
            let process_usage = process::usage(id).ok_or_else(|| Error::Usage(name.clone()))?;
            usage.insert(name, process_usage);
        }
        if !window_start {
            counters = read_counters(environment)?;
        }
        Ok(Self { read_at, usage, counters })
    }

    /// Returns the names of the entry instances that coordinate groups.
    pub fn coordinators(&self) -> Vec<String> {
        let coordinators = self.counters.iter().filter(|(_, counters)| counters.groups_held > 0.0);
        coordinators.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the measures of a process between an earlier reading and this one.
    pub fn since(&self, earlier: &Self, name: &str) -> Option<Measures> {
        let (now, before) = (self.usage.get(name)?, earlier.usage.get(name)?);
        let seconds = self.read_at.duration_since(earlier.read_at).as_secs_f64();
        let mut measures = Measures::new();
        let cpu = now.cpu_ms.saturating_sub(before.cpu_ms);
        measures.insert("cpu ms/s".to_owned(), to_f64(cpu) / seconds);
        measures.insert("rss KiB".to_owned(), to_f64(now.resident_kib));
        if let (Some(now), Some(before)) = (self.counters.get(name), earlier.counters.get(name)) {
            measures.extend(rates(now, before));
        }
        Some(measures)
    }
}

fn process_ids(environment: &Environment) -> Result<Vec<(String, u32)>> {
    let mut process_ids = vec![(CALLERS.to_owned(), std::process::id())];
    if let Some(id) = environment.platform_process_id() {
        process_ids.push((PLATFORM.to_owned(), id));
    }
    for kind in [Kind::Entry, Kind::Target] {
        for name in environment.names(kind) {
            let id = environment.process_id(&name).ok_or_else(|| Error::Usage(name.clone()))?;
            process_ids.push((name, id));
        }
    }
    Ok(process_ids)
}

fn read_counters(environment: &Environment) -> Result<BTreeMap<String, Counters>> {
    let mut counters = BTreeMap::new();
    for name in environment.names(Kind::Entry) {
        let text = environment.admin_text(&name, "/metrics")?;
        let read_at = Instant::now();
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
        let groups_held = exposition::sum(&text, "caraway_groups_held");
        counters.insert(name, Counters { read_at, counts, groups_held });
    }
    Ok(counters)
}

fn rates(now: &Counters, before: &Counters) -> Measures {
    let seconds = now.read_at.duration_since(before.read_at).as_secs_f64();
    let mut rates = Measures::new();
    for (name, count) in &now.counts {
        let rate = (count - before.counts.get(name).copied().unwrap_or(0.0)) / seconds;
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
    rates.insert("groups held".to_owned(), now.groups_held);
    rates
}

fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
