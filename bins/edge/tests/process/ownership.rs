//! Each key has at most one owner while instances and targets start, stop and fail.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use caraway_production::store::Mode;
use caraway_production::target::Target;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::wait;

/// Waits until there is a coordinator, and returns the index of its instance.
fn coordinator(cluster: &Cluster) -> usize {
    let name = || {
        let value = cluster.store.get("caraway/coordinator").unwrap_or_default();
        let name = String::from_utf8(value).unwrap();
        cluster.instances.iter().position(|instance| instance.name == name)
    };
    let mut index = None;
    wait(Duration::from_secs(5), "a coordinator", || {
        index = name();
        index.is_some()
    });
    index.unwrap()
}

/// Returns the first key, last key, owner and fencing token of each holding in the store.
fn owners(cluster: &Cluster) -> Vec<(u64, u64, String, u64)> {
    let value = cluster.store.get("caraway/owners").unwrap();
    let tables: serde_json::Value = serde_json::from_slice(&value).unwrap();
    let holdings = tables["keyed"]["holdings"].as_array().unwrap();
    let number = |holding: &serde_json::Value, name: &str| holding[name].as_u64().unwrap();
    let row = |holding: &serde_json::Value| {
        let owner = holding["owner"]["id"].as_str().unwrap().to_owned();
        (number(holding, "first"), number(holding, "last"), owner, number(holding, "fence"))
    };
    holdings.iter().map(row).collect()
}

/// Requests keys from the whole range until each is served; returns the time that this took.
fn wait_recovered(cluster: &Cluster, index: usize, limit: Duration) -> Duration {
    let started = Instant::now();
    for key in (0..=65_535_u32).step_by(4096) {
        let key = u16::try_from(key).unwrap();
        wait(limit, "served", || cluster.get_key(index, key, "r").status == 200);
    }
    started.elapsed()
}

/// Guards against keys with two owners or none after the coordinator was killed.
#[test]
fn a_killed_coordinator_is_replaced_and_targets_keep_their_keys() {
    let mut cluster = Cluster::start(0, 3, 3);
    cluster.wait_owned(0);
    let before = owners(&cluster);
    let killed = coordinator(&cluster);
    cluster.instances[killed].kill();
    let other = (killed + 1) % 3;
    let end = Instant::now() + Duration::from_secs(7);
    while Instant::now() < end {
        assert_eq!(cluster.get_key(other, 50_000, "t").status, 200);
        thread::sleep(Duration::from_millis(100));
    }
    assert_ne!(coordinator(&cluster), killed);
    let after = owners(&cluster);
    let keys = |all: &[(u64, u64, String, u64)]| -> Vec<_> {
        all.iter().map(|(first, last, owner, _)| (*first, *last, owner.clone())).collect()
    };
    assert_eq!(keys(&after), keys(&before));
    assert!(after.iter().zip(&before).all(|(after, before)| after.3 > before.3));
    assert!(cluster.journal.conflicts().is_empty());
}

/// Guards against a coordinator that learns late, or never, that its lease has ended, because it
/// dropped the first result of each round.
#[test]
fn a_coordinator_whose_lease_has_ended_is_elected_again() {
    let cluster = Cluster::start(1, 0, 1);
    coordinator(&cluster);
    for _ in 0..3 {
        cluster.store.end_leases();
        assert!(cluster.store.get("caraway/coordinator").is_none());
        wait(Duration::from_secs(3), "elected again", || {
            cluster.store.get("caraway/coordinator").is_some()
        });
    }
    assert!(cluster.instances[0].log().contains("the lease has expired"));
}

/// Guards against keys of a crashed target that stay unserved for the longest possible grant of 13 seconds,
/// because a coordinator that stopped gracefully did not announce the grants it had sent, which last three.
#[test]
fn a_stopping_coordinator_announces_outstanding_grants() {
    let cluster = Cluster::start(0, 3, 3);
    cluster.wait_owned(0);
    let stopped = coordinator(&cluster);
    let other = (stopped + 1) % 3;
    cluster.targets[1].crash();
    cluster.store.remove(&cluster.targets[1].registration_key());
    cluster.instances[stopped].signal("TERM");
    wait(Duration::from_secs(5), "another coordinator", || coordinator(&cluster) != stopped);
    let took = wait_recovered(&cluster, other, Duration::from_secs(20));
    assert!(took < Duration::from_secs(7), "{took:?}");
    assert!(cluster.journal.conflicts().is_empty());
}

/// Guards against all instances rereading the whole store when the coordinator fails: on small
/// machines, this took the CPU time that the takeover and the requests needed.
#[test]
fn a_coordinator_failure_causes_no_full_reads_of_the_store() {
    let mut cluster = Cluster::start(0, 3, 4);
    cluster.wait_owned(0);
    let killed = coordinator(&cluster);
    let other = (killed + 1) % 4;
    thread::sleep(Duration::from_secs(1));
    let before = cluster.store.range_calls();
    cluster.instances[killed].kill();
    wait(Duration::from_secs(6), "another coordinator", || coordinator(&cluster) != killed);
    wait_recovered(&cluster, other, Duration::from_secs(8));
    assert_eq!(cluster.store.range_calls(), before);
    // Later changes are still received.
    let target = cluster.targets[0].clone();
    cluster.store.put(&target.registration_key(), &target.registration("draining"));
    thread::sleep(Duration::from_secs(3));
    let late = Instant::now();
    wait_recovered(&cluster, other, Duration::from_secs(8));
    let ran = |run: &caraway_production::target::Run| run.target == "k0" && run.at > late;
    assert!(!cluster.journal.runs().iter().any(ran));
    assert!(cluster.journal.conflicts().is_empty());
}

/// Guards against a suspended coordinator that sends old grants when it resumes after its replacement.
#[test]
fn a_resumed_coordinator_sends_no_stale_grants() {
    let mut cluster = Cluster::start(0, 3, 3);
    cluster.wait_owned(0);
    let suspended = coordinator(&cluster);
    cluster.instances[suspended].signal("STOP");
    let other = (suspended + 1) % 3;
    wait(Duration::from_secs(6), "another coordinator", || coordinator(&cluster) != suspended);
    // The keys of one target move while the old coordinator is suspended.
    let target = cluster.targets[0].clone();
    cluster.store.put(&target.registration_key(), &target.registration("draining"));
    wait_recovered(&cluster, other, Duration::from_secs(8));
    cluster.instances[suspended].signal("CONT");
    thread::sleep(Duration::from_millis(1500));
    wait_recovered(&cluster, other, Duration::from_secs(8));
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
    cluster.instances[suspended].kill();
}

/// Guards against keys of a crashed target that stay unserved after its grant has expired.
#[test]
fn keys_of_a_crashed_target_are_served_again() {
    let cluster = Cluster::start(0, 3, 2);
    cluster.wait_owned(0);
    cluster.targets[1].crash();
    cluster.store.remove(&cluster.targets[1].registration_key());
    let took = wait_recovered(&cluster, 0, Duration::from_secs(8));
    assert!(took < Duration::from_secs(6), "{took:?}");
    assert!(cluster.journal.conflicts().is_empty());
}

/// Guards against requests to a draining target after its keys have moved, and against a handover
/// that fails requests.
#[test]
fn a_draining_target_hands_over_its_keys() {
    let cluster = Cluster::start(0, 3, 2);
    cluster.wait_owned(0);
    let target = cluster.targets[2].clone();
    cluster.store.put(&target.registration_key(), &target.registration("draining"));
    let end = Instant::now() + Duration::from_secs(3);
    let mut key = 0_u16;
    while Instant::now() < end {
        key = key.wrapping_add(1013);
        assert_eq!(cluster.get_key(1, key, "h").status, 200, "key {key}");
    }
    let late = Instant::now() - Duration::from_secs(1);
    let ran = |run: &caraway_production::target::Run| run.target == "k2" && run.at > late;
    assert!(!cluster.journal.runs().iter().any(ran));
    assert!(cluster.journal.conflicts().is_empty());
}

/// Guards against lost ownership tables, or keys with two owners, after all instances were killed
/// at the same time.
#[test]
fn all_instances_killed_at_once_recover_from_the_store() {
    let mut cluster = Cluster::start(0, 3, 3);
    cluster.wait_owned(0);
    for instance in &mut cluster.instances {
        instance.kill();
    }
    for instance in &mut cluster.instances {
        instance.restart().unwrap();
    }
    cluster.wait_ready(0);
    wait_recovered(&cluster, 0, Duration::from_secs(8));
    assert!(cluster.journal.conflicts().is_empty());
}

/// Guards against a coordinator that treats a write without a response as not executed.
#[test]
fn lost_store_responses_give_no_key_two_owners() {
    let cluster = Cluster::start(0, 3, 2);
    cluster.wait_owned(0);
    cluster.store.set_mode(Mode::Lossy);
    let target = cluster.targets[0].clone();
    cluster.store.put(&target.registration_key(), &target.registration("draining"));
    thread::sleep(Duration::from_secs(3));
    cluster.store.set_mode(Mode::Up);
    wait_recovered(&cluster, 0, Duration::from_secs(15));
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
}

/// Guards against a new target that is never assigned keys.
#[test]
fn a_new_target_is_assigned_keys() {
    let mut cluster = Cluster::start(0, 2, 1);
    cluster.wait_owned(0);
    cluster.add_target("k9", "keyed", true);
    let mut key = 0_u16;
    wait(Duration::from_secs(8), "in use", || {
        for _ in 0..10 {
            key = key.wrapping_add(77) % 2000;
            cluster.get_key(0, key, "n");
        }
        cluster.journal.runs().iter().any(|run| run.target == "k9")
    });
    assert!(cluster.journal.conflicts().is_empty());
}

/// Guards against two owners after an outage of the store: grants last 10 s during the outage, and
/// the next coordinator forgot them once its own shorter grants were confirmed. A target that is cut
/// off then still holds its keys.
#[test]
fn long_grants_of_an_outage_are_waited_for() {
    let cluster = Cluster::start(0, 3, 2);
    cluster.wait_owned(0);
    let terms = || -> usize {
        cluster.instances.iter().map(|i| i.log().matches("\"coordinator-elected\"").count()).sum()
    };
    let before = terms();
    cluster.store.set_mode(Mode::Busy);
    thread::sleep(Duration::from_secs(4));
    cluster.store.end_leases();
    cluster.store.set_mode(Mode::Up);
    wait(Duration::from_secs(6), "another term", || terms() > before);
    // The targets confirm grants of the new term.
    thread::sleep(Duration::from_secs(1));
    cluster.targets[0].answer_calls_endlessly("endless-close");
    for key in (0..=65_535_u16).step_by(4096) {
        wait(Duration::from_secs(20), "served by another target", || {
            let response = cluster.get_key(0, key, "moved");
            response.status == 200 && !response.body.starts_with("k0")
        });
    }
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
}

/// Guards against a release that is confirmed by another target: an entry of another writer gave a target's id the
/// address of another one, and when the entry came back, keys had two owners.
#[test]
fn a_release_is_confirmed_at_the_address_of_its_own_incarnation() {
    let cluster = Cluster::start(0, 3, 2);
    cluster.wait_owned(0);
    let (known, other) = (&cluster.targets[0], &cluster.targets[1]);
    let mut entry = known.registration("ready");
    entry["address"] = other.registration("ready")["address"].clone();
    entry["born"] = json!(known.born - 1);
    for _ in 0..3 {
        cluster.store.put(&known.registration_key(), &entry);
        thread::sleep(Duration::from_millis(900));
        cluster.store.put(&known.registration_key(), &known.registration("ready"));
        thread::sleep(Duration::from_millis(1500));
    }
    let conflicts = cluster.journal.conflicts();
    assert!(conflicts.is_empty(), "{conflicts:#?}");
    cluster.wait_owned(0);
    cluster.wait_owned(1);
}

/// Guards against an owner that counts as ended because of an entry of another writer at its address: its keys got a
/// second owner without a release, while it served them.
#[yare::parameterized(
    unknown_service = { "agent", "keyed-old" },
    another_service = { "agent", "pool" },
    its_own_id = { "k0", "keyed-old" },
    its_own_id_and_another_service = { "k0", "pool" },
)]
fn an_entry_of_another_writer_ends_no_owner(id: &str, service: &str) {
    let cluster = Cluster::start(1, 4, 2);
    cluster.wait_owned(0);
    let target = cluster.targets.iter().find(|target| target.registration_key() == "servers/k0");
    let target = target.unwrap().clone();
    let mut entry = target.registration("ready");
    entry["info"]["service"] = json!(service);
    entry["born"] = json!(target.born + 1);
    cluster.store.put(&format!("servers/{id}"), &entry);
    thread::sleep(Duration::from_secs(1));
    if id == "agent" {
        // The target leaves without a notice and serves for a while.
        cluster.store.remove(&target.registration_key());
    }
    thread::sleep(Duration::from_millis(2500));
    let conflicts = cluster.journal.conflicts();
    assert!(conflicts.is_empty(), "{conflicts:#?}");
    target.crash();
    wait_recovered(&cluster, 0, Duration::from_secs(8));
    let conflicts = cluster.journal.conflicts();
    assert!(conflicts.is_empty(), "{conflicts:#?}");
}

/// Guards against grants for a target that go to another one, because an entry of another writer states its address for
/// the running incarnation.
#[test]
fn an_entry_with_the_address_of_another_target_moves_no_grants() {
    let cluster = Cluster::start(0, 3, 2);
    cluster.wait_owned(0);
    let (known, other) = (&cluster.targets[0], &cluster.targets[1]);
    let mut entry = known.registration("ready");
    entry["address"] = other.registration("ready")["address"].clone();
    cluster.store.put(&known.registration_key(), &entry);
    thread::sleep(Duration::from_secs(1));
    // The next coordinator sends new tokens for all keys.
    cluster.store.end_leases();
    thread::sleep(Duration::from_secs(4));
    let conflicts = cluster.journal.conflicts();
    assert!(conflicts.is_empty(), "{conflicts:#?}");
    wait_recovered(&cluster, 0, Duration::from_secs(8));
}

/// Guards against keys that wait for the longest possible grant of 13 seconds although the target of another service
/// that has taken the address of their owner says so.
#[test]
fn keys_move_once_another_service_answers_at_the_address_of_their_owner() {
    let mut cluster = Cluster::start(1, 3, 3);
    cluster.wait_owned(0);
    let killed = coordinator(&cluster);
    let other = (killed + 1) % 3;
    let ended = cluster.targets[2].clone();
    cluster.instances[killed].kill();
    ended.crash();
    cluster.store.remove(&ended.registration_key());
    let (address, born) = (ended.address, ended.born + 1);
    let successor = Target::start_at(address, "p9", born, "pool", false, &cluster.journal).unwrap();
    cluster.store.put(&successor.registration_key(), &successor.registration("ready"));
    cluster.targets.push(successor);
    let took = wait_recovered(&cluster, other, Duration::from_secs(20));
    assert!(took < Duration::from_secs(9), "{took:?}");
    let log = cluster.instances.iter().map(|instance| instance.log()).collect::<String>();
    assert!(log.contains("another service answers at its address"));
    assert!(cluster.journal.conflicts().is_empty());
}

/// Guards against targets that are never used because their entries came before the configuration that names their
/// service, also on an instance that learned of them from another one.
#[test]
fn targets_are_used_once_a_configuration_names_their_service() {
    let mut cluster = Cluster::start(1, 0, 2);
    cluster.add_target("n0", "new", false);
    wait(Duration::from_secs(5), "the entries are known", || {
        cluster.instances.iter().all(|instance| instance.log().contains("\"entry-unused\""))
    });
    let mut next = configuration(2);
    let route = json!({
        "name": "new", "prefix": "/new/", "route_type": "idempotent", "timeout_ms": 2000,
        "target_latency_ms": 500, "priority": 1, "service": "new", "max_attempts": 2,
    });
    next["services"].as_array_mut().unwrap().push(json!({ "name": "new", "max_connections": 9 }));
    next["virtual_hosts"][0]["paths"].as_array_mut().unwrap().push(route);
    cluster.store.put("op/config", &next);
    for index in 0..2 {
        wait(Duration::from_secs(5), "served", || cluster.get(index, "/new/x", "n").status == 200);
    }
}
