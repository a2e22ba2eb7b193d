//! Tests of the plan and of the comparison of documents.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use proptest::collection::vec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use serde_json::Value;
use serde_json::json;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_document::check;
use caraway_document::diff;
use caraway_document::diff::Diff;
use caraway_document::plan::Plan;
use caraway_document::schema::Document;

const ANDINA: &str = include_str!("../../../environments/andina.json");
const THURGAU: &str = include_str!("../../../environments/thurgau.json");

fn andina() -> Value {
    serde_json::from_str(ANDINA).unwrap()
}

fn parse(value: &Value) -> Document {
    check::parse(&value.to_string()).unwrap()
}

fn compare(change: impl FnOnce(&mut Value)) -> Diff {
    let mut new = andina();
    change(&mut new);
    diff::compare(&parse(&andina()), &parse(&new)).unwrap()
}

/// Returns a document with a single service that has `counts[i]` targets in failure domain `i`.
fn document_with_target_counts(counts: &[usize], shards: u32) -> Value {
    let domains: Vec<_> = (0..counts.len()).map(|domain| format!("d{domain}")).collect();
    let mut targets = Vec::new();
    for (domain, count) in counts.iter().enumerate() {
        for _ in 0..*count {
            let n = targets.len() + 1;
            targets.push(json!({"name": format!("t{n}"), "failure_domain": domains[domain],
                "address": format!("127.0.0.1:{n}")}));
        }
    }
    let mut document = andina();
    document["failure_domains"] = json!(domains);
    document["services"][0]["targets"] = json!(targets);
    document["services"][0]["shards"] = json!(shards);
    document["services"] = json!([document["services"][0]]);
    document["routes"] = json!([document["routes"][0]]);
    document
}

/// Guards against a change of group names or shard ranges, which must be the same on all instances.
#[test]
fn groups_follow_the_document() {
    let plan = Plan::try_new(&check::parse(THURGAU).unwrap(), 7).unwrap();
    let groups: Vec<_> = plan
        .groups
        .iter()
        .map(|group| format!("{} {:?} {}", group.name, group.shards, group.targets.len()))
        .collect();
    assert_eq!(groups[0], "regal/weinfelden/0 0..48 3");
    assert_eq!(groups[3], "regal/arbon/0 144..192 3");
    assert_eq!(groups[4], "platz/weinfelden/0 0..21 3");
    assert_eq!(groups[7], "platz/arbon/0 49..63 2");
    assert_eq!(groups.len(), 16);
    assert_eq!(plan.version, 7);
}

#[yare::parameterized(
    key = { "GET", "/lectura/step-17", Some(("lectura", "reading", "step-17")) },
    more_segments = { "GET", "/lectura/step-17/wear?day=3", Some(("lectura", "reading", "step-17")) },
    other_method = { "PUT", "/lectura/step-17", Some(("lectura", "report", "step-17")) },
    no_key = { "GET", "/lectura/", None },
    empty_key = { "GET", "/lectura//wear", None },
    query_only = { "GET", "/lectura/?a/b", None },
    unknown = { "GET", "/nada/1", None },
    unknown_method = { "BREW", "/lectura/1", None },
    empty = { "GET", "", None },
)]
fn a_route_yields_its_key(method: &str, path: &str, expected: Option<(&str, &str, &str)>) {
    let plan = Plan::try_new(&check::parse(ANDINA).unwrap(), 1).unwrap();
    let found = plan.route(method, path);
    let found =
        found.map(|(route, key)| (route.service.name.as_str(), route.class.name.as_str(), key));
    assert_eq!(found, expected);
}

/// Guards against a shorter prefix that takes precedence over a longer one, and against a longer
/// prefix without a key that hides a shorter one.
#[test]
fn the_longest_prefix_with_a_key_wins() {
    let mut document = andina();
    document["routes"][0]["prefix"] = json!("/");
    let longer = json!({"method": "GET", "prefix": "/estado/hoy/", "service": "lectura", "class": "reading"});
    document["routes"].as_array_mut().unwrap().push(longer);
    let plan = Plan::try_new(&parse(&document), 1).unwrap();
    let key = |path| plan.route("GET", path).map(|(route, key)| (route.prefix.to_string(), key));
    assert_eq!(key("/estado/hoy/4"), Some(("/estado/hoy/".into(), "4")));
    assert_eq!(key("/estado/hoy/"), Some(("/estado/".into(), "hoy")));
    assert_eq!(key("/estado/"), Some(("/".into(), "estado")));
    assert_eq!(key("/x"), Some(("/".into(), "x")));
}

proptest! {
    /// Guards against shards that belong to no group or to two groups, and against groups that are
    /// too large or have fewer shards than targets.
    #[test]
    fn shards_are_divided_completely(
        counts in vec(0_usize..40, 1..6),
        extra in 0_u32..500,
    ) {
        let total: usize = counts.iter().sum();
        if total == 0 {
            return Ok(());
        }
        let shards = u32::try_from(total).unwrap() + extra;
        let plan = Plan::try_new(&parse(&document_with_target_counts(&counts, shards)), 1).unwrap();
        let mut next = 0;
        for group in &plan.groups {
            prop_assert_eq!(group.shards.start, next);
            prop_assert!(group.targets.len() <= 16);
            prop_assert!(group.shards.len() >= group.targets.len());
            prop_assert_eq!(plan.group(&group.name), Some(group));
            next = group.shards.end;
        }
        prop_assert_eq!(next, shards);
        let service = name::Service::new("lectura");
        for shard in 0..shards {
            let group = plan.group_for_shard(&service, Shard(shard)).unwrap();
            prop_assert!(group.shards.contains(&shard));
        }
        prop_assert!(plan.group_for_shard(&service, Shard(shards)).is_none());
        prop_assert!(plan.group_for_shard(&name::Service::new("none"), Shard(0)).is_none());
    }

    /// Guards against a moved shard that is not listed and against a listed shard that does not
    /// move.
    #[test]
    fn moves_match_the_plans(before in vec(1_usize..20, 2..4), after in vec(1_usize..20, 2..4)) {
        let (old, new) = (
            parse(&document_with_target_counts(&before, 97)),
            parse(&document_with_target_counts(&after, 97)),
        );
        let diff = diff::compare(&old, &new).unwrap();
        let (old, new) = (Plan::try_new(&old, 1).unwrap(), Plan::try_new(&new, 2).unwrap());
        let service = name::Service::new("lectura");
        let mut listed = diff.moves.iter().flat_map(|step| {
            (step.first..=step.last).map(move |shard| (shard, step.from.clone(), step.to.clone()))
        });
        for shard in 0..97 {
            let from = &old.group_for_shard(&service, Shard(shard)).unwrap().name;
            let to = &new.group_for_shard(&service, Shard(shard)).unwrap().name;
            if from != to {
                prop_assert_eq!(listed.next(), Some((shard, from.clone(), to.clone())));
            }
        }
        prop_assert_eq!(listed.next(), None);
    }

    /// Guards against a route lookup that differs from the definition: the longest prefix of the
    /// method that is followed by a key.
    #[test]
    fn the_route_index_matches_a_linear_scan(path in "(/|[ab/?#]{0,12}|/lectura/[a/]{0,4})") {
        let mut document = andina();
        for (route, prefix) in [(0, "/"), (3, "/a/"), (4, "/a/b/")] {
            document["routes"][route]["prefix"] = json!(prefix);
        }
        let plan = Plan::try_new(&parse(&document), 1).unwrap();
        let plain = path.split(['?', '#']).next().unwrap();
        let expected = plan.routes.iter().filter(|route| &*route.method == "GET").find_map(|route| {
            let key = plain.strip_prefix(&*route.prefix)?.split('/').next()?;
            (!key.is_empty()).then_some((route, key))
        });
        prop_assert_eq!(plan.route("GET", &path), expected);
    }
}

#[test]
fn equal_documents_have_no_difference() {
    assert_eq!(compare(|_| {}), Diff::default());
}

/// Guards against a change that is not shown to the operator before the promotion.
#[test]
fn every_kind_of_change_is_listed() {
    let diff = compare(|new| {
        new["tenants"][0] = json!("norte");
        new["classes"][0]["patience_ms"] = json!(900);
        new["services"][1]["queue"] = json!(65);
        new["services"][0]["targets"][0]["address"] = json!("127.0.0.1:21901");
        new["routes"][4]["class"] = json!("reading");
        new["limits"]["idle_ms"] = json!(31_000);
    });
    let changes: Vec<_> = diff.changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        changes,
        [
            "- tenant centro \"centro\"",
            "+ tenant norte \"norte\"",
            "~ class reading: patience_ms 1000 -> 900",
            "~ service ordenes: queue 64 -> 65",
            "~ target lectura-01: address \"127.0.0.1:21001\" -> \"127.0.0.1:21901\"",
            "~ route GET /estado/: class \"status\" -> \"reading\"",
            "~ limits data path: idle_ms 30000 -> 31000",
        ]
    );
    assert!(diff.moves.is_empty() && diff.findings.is_empty());
}

/// Guards against a change that moves shards of a running service to another group, whose
/// coordinator does not know whether the old targets have released them.
#[test]
fn shards_that_would_move_between_groups_are_findings() {
    let target =
        json!({"name": "lectura-17", "failure_domain": "med", "address": "127.0.0.1:21917"});
    let diff = compare(|new| new["services"][0]["targets"].as_array_mut().unwrap().push(target));
    let moves: Vec<_> = diff
        .moves
        .iter()
        .map(|step| (step.first, step.last, step.from.as_str(), step.to.as_str()))
        .collect();
    assert_eq!(
        moves,
        [
            (64, 74, "lectura/bog/0", "lectura/med/0"),
            (128, 134, "lectura/cal/0", "lectura/bog/0"),
            (192, 194, "lectura/man/0", "lectura/cal/0"),
        ]
    );
    assert_eq!(diff.findings.findings().len(), 3);
    assert_eq!(diff.findings.findings()[0].place, "/services/0/targets");
}

#[yare::parameterized(
    environment = { "/environment", json!("otra"), "/environment" },
    shards = { "/services/0/shards", json!(512), "/services/0/shards" },
    division = { "/services/1/division", json!("keyed"), "/services/1/division" },
)]
fn a_change_that_moves_keys_is_a_finding(place: &str, value: Value, finding: &str) {
    let diff = compare(|new| *new.pointer_mut(place).unwrap() = value);
    assert_eq!(diff.findings.findings()[0].place, finding);
}

/// Guards against the rejection of changes that move no shards: one more target in every failure
/// domain, and a new service.
#[test]
fn even_growth_and_a_new_service_are_allowed() {
    let diff = compare(|new| {
        for (n, domain) in ["med", "bog", "cal", "man"].iter().enumerate() {
            let target = json!({"name": format!("lectura-{}", 17 + n), "failure_domain": domain,
                "address": format!("127.0.0.1:{}", 21_900 + n)});
            new["services"][0]["targets"].as_array_mut().unwrap().push(target);
        }
        let mut service = new["services"][1].clone();
        service["name"] = json!("avisos");
        service["targets"] =
            json!([{"name": "avisos-01", "failure_domain": "med", "address": "127.0.0.1:22001"}]);
        new["services"].as_array_mut().unwrap().push(service);
    });
    assert!(diff.findings.is_empty(), "{}", diff.findings);
    assert_eq!(diff.changes.len(), 6);
}

/// Returns a placement of `lectura` in the Andina document.
fn placement(ranges: &[(&str, u32, u32)]) -> Value {
    let row = |(domain, first, last): &(&str, u32, u32)| json!({"group": format!("lectura/{domain}/0"), "first": first, "last": last});
    ranges.iter().map(row).collect()
}

fn target(name: &str, domain: &str, port: u16) -> Value {
    json!({"name": name, "failure_domain": domain, "address": format!("127.0.0.1:{port}")})
}

/// Guards against a lookup that assumes ranges in document order, and against a group outside the
/// placement that hides the group of a shard.
#[test]
fn an_explicit_placement_is_used() {
    let mut document = andina();
    document["services"][0]["placement"] =
        placement(&[("med", 0, 99), ("man", 100, 199), ("cal", 200, 255)]);
    let plan = Plan::try_new(&parse(&document), 1).unwrap();
    let service = name::Service::new("lectura");
    for (shard, group) in
        [(0, "med"), (99, "med"), (100, "man"), (199, "man"), (200, "cal"), (255, "cal")]
    {
        let found = plan.group_for_shard(&service, Shard(shard)).unwrap();
        assert_eq!(found.name.as_str(), format!("lectura/{group}/0"), "{shard}");
    }
    assert!(plan.group_for_shard(&service, Shard(256)).is_none());
    let unlisted = plan.group(&name::Group::new("lectura/bog/0")).unwrap();
    assert!(unlisted.shards.is_empty() && unlisted.targets.len() == 4);
}

/// Guards against an explicit placement that differs from the default division it was generated
/// from, and against a service that cannot grow or shrink in a single failure domain.
#[test]
fn a_service_with_an_explicit_placement_grows_in_one_domain() {
    let old = parse(&andina());
    let plan = Plan::try_new(&old, 1).unwrap();
    let mut explicit = old.clone();
    for service in &mut explicit.services {
        service.placement = Some(plan.placement(&service.name));
    }
    let diff = diff::compare(&old, &explicit).unwrap();
    assert!(diff.moves.is_empty() && diff.findings.is_empty(), "{}", diff.findings);
    let mut grown = serde_json::to_value(&explicit).unwrap();
    let targets = grown["services"][0]["targets"].as_array_mut().unwrap();
    targets.push(target("lectura-17", "med", 21_917));
    targets.remove(15);
    for before in [&old, &explicit] {
        let diff = diff::compare(before, &parse(&grown)).unwrap();
        assert!(diff.moves.is_empty() && diff.findings.is_empty(), "{}", diff.findings);
    }
    grown["services"][0]["placement"][0]["last"] = json!(62);
    grown["services"][0]["placement"][1]["first"] = json!(63);
    let diff = diff::compare(&explicit, &parse(&grown)).unwrap();
    let step = &diff.moves[0];
    assert_eq!((step.first, step.last, diff.moves.len()), (63, 63, 1));
    assert_eq!(diff.findings.findings()[0].place, "/services/0/placement");
}

/// Guards against a target that receives grants from two groups, whose terms are not comparable.
#[test]
fn a_target_that_would_change_its_group_is_a_finding() {
    let mut old = document_with_target_counts(&[17, 1], 64);
    old["services"][0]["placement"] = json!([{"group": "lectura/d0/0", "first": 0, "last": 31},
        {"group": "lectura/d1/0", "first": 32, "last": 63}]);
    let mut new = old.clone();
    new["services"][0]["targets"].as_array_mut().unwrap().remove(3);
    let diff = diff::compare(&parse(&old), &parse(&new)).unwrap();
    let findings = diff.findings.findings();
    assert_eq!((findings.len(), &*findings[0].place), (1, "/services/0/targets/15"));
}
