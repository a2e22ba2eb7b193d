//! Explanations of where requests would be sent.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use caraway_production::caller::Caller;
use caraway_production::target::Target;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::wait;

fn ask(cluster: &Cluster, query: &str) -> Value {
    let mut caller = Caller::open(cluster.instances[0].metrics_address).unwrap();
    let path = format!("/explain?host=shop.example&{query}");
    let response = caller.call("GET", &path, "explain", &[]).unwrap();
    assert_eq!(response.status, 200, "{}", response.body);
    serde_json::from_str(&response.body).unwrap()
}

fn row<'a>(rows: &'a Value, target: &str) -> Option<&'a Value> {
    rows.as_array().unwrap().iter().find(|row| row["target"] == target)
}

fn metrics(cluster: &Cluster) -> Vec<String> {
    let mut caller = Caller::open(cluster.instances[0].metrics_address).unwrap();
    let body = caller.call("GET", "/metrics", "metrics", &[]).unwrap().body;
    let counted = |line: &&str| {
        ["caraway_refused", "caraway_answered", "caraway_cold_requests", "caraway_repeated"]
            .iter()
            .any(|name| line.starts_with(name))
    };
    body.lines().filter(counted).map(str::to_owned).collect()
}

/// Guards against an explanation that names another owner than the one that serves the key, that
/// hides why a target gets no requests, or that sends a request or counts one.
#[test]
fn an_explanation_names_targets_and_reasons_and_sends_nothing() {
    let mut cluster = Cluster::start(2, 2, 1);
    let mut limited = configuration(2);
    for service in [0, 1] {
        limited["services"][service]["warmup_s"] = json!(30.0);
        limited["services"][service]["warmup_per_s"] = json!(4.0);
    }
    cluster.store.put("op/config", &limited);
    wait(Duration::from_secs(5), "configured", || {
        cluster.get(0, "/version-2/x", "version").status == 200
    });
    cluster.wait_owned(0);
    let owner = cluster.get_key(0, 20_000, "owner").body;
    let draining = &cluster.targets[1];
    cluster.store.put(&draining.registration_key(), &draining.registration("draining"));
    // The instances of the cold target's domain come before the real one, which therefore has no
    // share in the requests to it. There are more of them than requests per second.
    for index in 0..6 {
        let entry = json!({ "address": "127.0.0.1:9", "domain": "b", "processor": 0.5 });
        cluster.store.put(&format!("caraway/instance/absent-{index}"), &entry);
    }
    let cold = Target::start("cold", "pool", false, &cluster.journal).unwrap();
    cold.make_cold(Duration::from_secs(30), 8);
    cluster.store.put(&cold.registration_key(), &cold.registration_in("ready", "b"));
    cluster.targets.push(cold);
    let has_reasons = |answer: &Value| {
        let others = &answer["services"][0]["others"];
        let reason = |target| row(others, target).map(|row| row["reason"].clone());
        reason("p1") == Some(json!("leaving")) && reason("cold") == Some(json!("cold"))
    };
    wait(Duration::from_secs(5), "drained and cold", || {
        has_reasons(&ask(&cluster, "path=/read/x"))
    });
    let (arrivals, counts) = (cluster.journal.arrivals().len(), metrics(&cluster));
    assert!(counts.iter().any(|line| line.starts_with("caraway_answered")), "{counts:?}");

    let keyed = ask(&cluster, "path=%2Fkey%2Fx&key=20000");
    let service = &keyed["services"][0];
    assert!(owner.starts_with(service["owner"]["target"].as_str().unwrap()), "{owner}: {keyed}");
    assert_eq!(service["owner"]["confirmed"], true, "{keyed}");
    assert!(service["owners_version"].as_str().unwrap().contains('.'), "{keyed}");
    assert!(service["refusal"].is_null(), "{keyed}");

    let pooled = ask(&cluster, "path=/read/x");
    assert_eq!((&pooled["configuration"], &pooled["route"]["name"]), (&json!(2), &json!("read")));
    let service = &pooled["services"][0];
    assert_eq!(row(&service["candidates"], "p0").unwrap()["state"], "usable", "{pooled}");
    assert_eq!(row(&service["others"], "p1").unwrap()["reason"], "leaving", "{pooled}");
    assert_eq!(row(&service["others"], "cold").unwrap()["reason"], "cold", "{pooled}");
    assert!(service["refusal"].is_null(), "{pooled}");

    let missing = ask(&cluster, "path=/nowhere");
    assert!(missing["route"].is_null(), "{missing}");
    assert_eq!(missing["refusal"]["status"], 404, "{missing}");

    assert_eq!(cluster.journal.arrivals().len(), arrivals);
    assert_eq!(metrics(&cluster), counts);
}

/// Guards against an explanation that promises a target where requests are refused, or states
/// another reason than the refusal does.
#[test]
fn an_explanation_states_the_reason_of_a_refusal() {
    let cluster = Cluster::start(1, 0, 1);
    cluster.targets[0].set_pause(Some("20"));
    wait(Duration::from_secs(5), "paused", || {
        let answer = ask(&cluster, "path=/order/x");
        cluster.get(0, "/order/x", "pause");
        answer["services"][0]["refusal"]["reason"] == "the target asked for a pause"
    });
    let answer = ask(&cluster, "path=/order/x");
    let service = &answer["services"][0];
    assert_eq!(row(&service["others"], "p0").unwrap()["reason"], "paused", "{answer}");
    let delay = service["refusal"]["retry_after_ms"].as_u64().unwrap();
    assert!((1_000..=40_000).contains(&delay), "{answer}");
    let response = cluster.get(0, "/order/x", "refused");
    assert_eq!(response.status, 503);
    assert!(response.body.contains("the target asked for a pause"), "{}", response.body);
}

/// Guards against an explanation of a large fleet without the places of the instance, or one that
/// takes all targets for candidates.
#[test]
fn an_explanation_tells_the_share_from_other_targets() {
    let cluster = Cluster::start(16, 0, 1);
    // More than seven instances for each of the four slots of a target: the targets are divided.
    for index in 0..34 {
        let entry = json!({ "address": "127.0.0.1:9", "domain": "a", "processor": 0.5 });
        cluster.store.put(&format!("caraway/instance/absent-{index}"), &entry);
    }
    let mut answer = Value::Null;
    wait(Duration::from_secs(5), "divided", || {
        answer = ask(&cluster, "path=/read/x");
        answer["services"][0]["others"].to_string().contains("not in the share")
    });
    let service = &answer["services"][0];
    let candidates = service["candidates"].as_array().unwrap();
    assert!((1..=7).contains(&candidates.len()), "{answer}");
    for candidate in candidates {
        assert_eq!((&candidate["place"], &candidate["state"]), (&json!("share"), &json!("usable")));
        assert!(candidate["limit"].as_u64().unwrap() >= 1, "{answer}");
    }
    // The requests go to the candidates alone.
    for request in 0..30 {
        let target = cluster.get(0, "/read/x", &format!("request-{request}"));
        assert_eq!(target.status, 200);
    }
    for run in cluster.journal.runs() {
        assert!(row(&service["candidates"], &run.target).is_some(), "{}: {answer}", run.target);
    }
}
