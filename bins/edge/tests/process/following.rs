//! From whom instances learn the contents of the store.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use caraway_production::caller::Caller;
use caraway_production::instance::Instance;
use caraway_production::proxy::Link;
use caraway_production::proxy::Proxy;
use caraway_production::store::Mode;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::wait;

/// Time limit for applying a configuration.
const APPLY_LIMIT: Duration = Duration::from_millis(2500);

/// Returns the value of a metric of an instance, or zero if it has none.
pub fn metric(cluster: &Cluster, index: usize, name: &str) -> f64 {
    let address = cluster.instances[index].metrics_address;
    let text = Caller::open(address).unwrap().call("GET", "/", "m", &[]).unwrap().body;
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    value.unwrap_or(0.0)
}

fn coordinator(cluster: &Cluster) -> Option<usize> {
    let name = cluster.store.get("caraway/coordinator")?;
    cluster.instances.iter().position(|instance| instance.name.as_bytes() == name)
}

/// Guards against an instance that follows nobody: it was told that the coordinator watches the
/// store for it, became coordinator itself while the earlier one did not yet know that its lease had
/// ended, and lost the leadership while it was frozen.
#[test]
fn an_instance_that_was_frozen_as_the_coordinator_follows_the_store_again() {
    let mut cluster = Cluster::start(1, 0, 0);
    let proxy = Proxy::start(cluster.store.address).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_caraway-edge"));
    cluster.instances.push(Instance::start(program, "a", proxy.address).unwrap());
    wait(Duration::from_secs(5), "the first is elected", || coordinator(&cluster) == Some(0));
    cluster.add_instance();
    cluster.wait_ready(1);
    thread::sleep(Duration::from_millis(1500));
    proxy.set_link(Link::Slow(Duration::from_millis(350)));
    cluster.store.end_leases();
    wait(Duration::from_secs(5), "the second is elected", || coordinator(&cluster) == Some(1));
    thread::sleep(Duration::from_millis(1500));
    proxy.set_link(Link::Open);
    cluster.instances[1].signal("STOP");
    let changed = || coordinator(&cluster) == Some(0);
    wait(Duration::from_secs(5), "the first is elected again", changed);
    thread::sleep(Duration::from_secs(1));
    cluster.instances[1].signal("CONT");
    thread::sleep(Duration::from_millis(300));
    cluster.store.put("op/config", &configuration(5));
    wait(APPLY_LIMIT, "version 5", || cluster.get(1, "/version-5/x", "v").status == 200);
}

/// Guards against a fleet in which every instance watches the store while the coordinator is
/// silent, and against instances that learn changes late from a deputy, or not at all after one has
/// failed.
#[test]
fn deputies_watch_the_store_for_the_others_while_the_coordinator_is_silent() {
    const INSTANCES: usize = 9;
    let mut cluster = Cluster::start(1, 0, 0);
    // The record has no lease, so no other instance is elected.
    cluster.store.put_bytes("caraway/coordinator", b"silent");
    for _ in 0..INSTANCES {
        cluster.add_instance();
    }
    (0..INSTANCES).for_each(|index| cluster.wait_ready(index));
    thread::sleep(Duration::from_secs(3));
    let before = cluster.store.calls();
    thread::sleep(Duration::from_secs(3));
    let calls = cluster.store.calls() - before;
    // Two deputies with a call every 600 ms make 10; nine instances with one a second make 27.
    assert!(calls <= 18, "{calls} calls of {INSTANCES} instances in 3 s");
    cluster.store.put("op/config", &configuration(5));
    for index in 0..INSTANCES {
        wait(APPLY_LIMIT, "version 5", || cluster.get(index, "/version-5/x", "v").status == 200);
    }
    let watching = |index: &usize| {
        let log = cluster.instances[*index].log();
        let latest = log.lines().rfind(|line| line.contains("\"following-changed\""));
        latest.is_none_or(|line| line.contains("\"mode\":\"the store\""))
    };
    let deputies: Vec<usize> = (0..INSTANCES).filter(watching).collect();
    assert_eq!(deputies.len(), 2, "{deputies:?}");
    cluster.instances[deputies[0]].kill();
    cluster.store.put("op/config", &configuration(7));
    let started = Instant::now();
    for index in (0..INSTANCES).filter(|index| *index != deputies[0]) {
        let limit = APPLY_LIMIT.saturating_sub(started.elapsed());
        wait(limit, "version 7", || cluster.get(index, "/version-7/x", "v").status == 200);
    }
}

/// Guards against an instance that reports that it is ready although it has been cut off from the
/// store and all other instances for long, and against one that stays not ready afterwards.
#[test]
fn an_instance_that_is_cut_off_for_long_is_not_ready() {
    let mut cluster = Cluster::start(1, 0, 1);
    let settings = cluster.instances[0].directory.join("settings");
    let text = fs::read_to_string(&settings).unwrap();
    fs::write(&settings, text.replace("hold_max_ms=10000", "hold_max_ms=2000")).unwrap();
    cluster.instances[0].kill();
    cluster.instances[0].restart().unwrap();
    cluster.wait_ready(0);
    cluster.store.set_mode(Mode::Busy);
    thread::sleep(Duration::from_millis(2500));
    assert!(cluster.ready(0), "not ready after a short outage");
    wait(Duration::from_secs(3), "unready", || !cluster.ready(0));
    wait(Duration::from_secs(2), "a metric", || {
        metric(&cluster, 0, "caraway_view_age_ms") >= 4000.0
    });
    cluster.store.set_mode(Mode::Up);
    wait(Duration::from_secs(4), "ready again", || cluster.ready(0));
}

/// Guards against an outage that never ends: until the next error, targets that were removed while
/// the store was available were kept for a grace period, as after an outage.
#[test]
fn the_grace_period_for_missing_targets_ends_with_the_outage() {
    let mut cluster = Cluster::start(2, 0, 0);
    // Without a coordinator, the instance makes no calls beside those of the watch.
    cluster.store.put_bytes("caraway/coordinator", b"silent");
    cluster.add_instance();
    cluster.wait_ready(0);
    let logged = |text: &str| cluster.instances[0].log().contains(text);
    thread::sleep(Duration::from_secs(1));
    cluster.store.set_mode(Mode::Busy);
    wait(Duration::from_secs(3), "an outage", || logged("\"store-unreachable\""));
    thread::sleep(Duration::from_secs(1));
    cluster.store.set_mode(Mode::Up);
    thread::sleep(Duration::from_secs(3));
    // The watch fails because of the compaction, so that everything is read again.
    cluster.store.remove(&cluster.targets[0].registration_key());
    cluster.store.compact();
    wait(Duration::from_millis(1500), "unlisted", || logged("\"target-unlisted\""));
}

/// Guards against an instance that reads everything from the store when it starts or restarts,
/// although another one that is up to date can send it: a full read takes about ten calls.
#[test]
fn an_instance_that_starts_gets_everything_from_the_coordinator() {
    let mut cluster = Cluster::start(1, 2, 2);
    // More entries than fit on three pages.
    for index in 0..120 {
        let mut registration = cluster.targets[0].registration("draining");
        registration["address"] = serde_json::json!(format!("127.0.0.1:{}", 1000 + index));
        cluster.store.put(&format!("servers/far-{index}"), &registration);
    }
    cluster.wait_owned(0);
    thread::sleep(Duration::from_secs(1));
    let reads = cluster.store.range_calls();
    cluster.add_instance();
    cluster.wait_ready(2);
    cluster.wait_owned(2);
    assert_eq!(cluster.get(2, "/read/x", "first").status, 200);
    assert_eq!(cluster.store.range_calls() - reads, 1, "range reads");
    cluster.store.put("op/config", &configuration(5));
    wait(APPLY_LIMIT, "version 5", || cluster.get(2, "/version-5/x", "v").status == 200);
    // It needs no full read either when it has to watch the store itself.
    let coordinator = coordinator(&cluster).unwrap();
    cluster.instances[coordinator].kill();
    cluster.store.put("op/config", &configuration(6));
    wait(APPLY_LIMIT, "version 6", || cluster.get(2, "/version-6/x", "v").status == 200);
    assert_eq!(cluster.store.range_calls() - reads, 1, "range reads");
}

/// Guards against messages that repeat what the receiver has: the owners, the instances and all
/// crashes of two minutes were part of nearly every response.
#[test]
fn responses_contain_only_what_changed() {
    let cluster = Cluster::start(1, 3, 2);
    cluster.wait_owned(0);
    cluster.wait_owned(1);
    thread::sleep(Duration::from_secs(3));
    let leader = coordinator(&cluster).unwrap();
    let bytes = |kind: &str| {
        metric(&cluster, leader, &format!("caraway_message_bytes_total{{kind=\"{kind}\"}}"))
    };
    let kinds = ["update_owners", "update_instances", "update_crashes", "update_config"];
    let before = kinds.map(bytes);
    let reports = bytes("update_other");
    thread::sleep(Duration::from_secs(2));
    assert!(bytes("update_other") > reports, "no responses were counted");
    assert_eq!(kinds.map(bytes), before);
}
