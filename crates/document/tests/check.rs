//! Tests of document validation and of the stored form.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::Index;
use serde_json::Value;
use serde_json::json;

use caraway_document::check;
use caraway_document::envelope::Envelope;
use caraway_document::errors::Error;
use caraway_document::plan::Plan;
use caraway_document::rule;
use caraway_document::rule::Rule;

const ANDINA: &str = include_str!("../../../environments/andina.json");
const THURGAU: &str = include_str!("../../../environments/thurgau.json");

fn andina() -> Value {
    serde_json::from_str(ANDINA).unwrap()
}

/// Returns the places of the findings after one value of the Andina document is replaced.
fn places(place: &str, value: Value) -> Vec<String> {
    let mut document = andina();
    let (parent, name) = place.rsplit_once('/').unwrap();
    match document.pointer_mut(parent).unwrap() {
        Value::Object(object) => {
            object.insert(name.to_owned(), value);
        }
        Value::Array(list) => list[name.parse::<usize>().unwrap()] = value,
        other => panic!("{other}"),
    }
    check::value(&document).findings().iter().map(|finding| finding.place.clone()).collect()
}

/// Guards against an environment document in the repository that fails validation.
#[yare::parameterized(andina = { ANDINA }, thurgau = { THURGAU })]
fn the_environments_are_valid(text: &str) {
    let document = check::parse(text).unwrap();
    Plan::try_new(&document, 1).unwrap();
}

/// Guards against an invalid value that is accepted or reported at the wrong place.
#[yare::parameterized(
    format = { "/format", json!(2), "/format" },
    unknown_field = { "/limits/burst", json!(1), "/limits/burst" },
    escaped_field = { "/a~1b", json!(1), "/a~01b" },
    wrong_type = { "/classes/0/repeatable", json!("yes"), "/classes/0/repeatable" },
    float = { "/services/0/slots", json!(1.5), "/services/0/slots" },
    negative = { "/services/0/queue", json!(-1), "/services/0/queue" },
    out_of_range = { "/classes/0/patience_ms", json!(600_001), "/classes/0/patience_ms" },
    upper_case = { "/services/0/targets/0/name", json!("A"), "/services/0/targets/0/name" },
    slash_in_name = { "/environment", json!("a/b"), "/environment" },
    port_zero = { "/services/0/targets/0/address", json!("127.0.0.1:0"), "/services/0/targets/0/address" },
    host_name = { "/services/0/targets/0/address", json!("host:80"), "/services/0/targets/0/address" },
    open_prefix = { "/routes/0/prefix", json!("/lectura"), "/routes/0/prefix" },
    double_slash = { "/routes/0/prefix", json!("//"), "/routes/0/prefix" },
    domain_twice = { "/failure_domains", json!(["med", "bog", "cal", "man", "med"]), "/failure_domains/4" },
    class_twice = { "/classes/1/name", json!("status"), "/classes/4/name" },
    target_twice = { "/services/1/targets/0/name", json!("lectura-01"), "/services/1/targets/0/name" },
    address_twice = { "/services/1/targets/0/address", json!("127.0.0.1:21001"), "/services/1/targets/0/address" },
    unknown_domain = { "/services/0/targets/3/failure_domain", json!("lim"), "/services/0/targets/3/failure_domain" },
    unknown_service = { "/routes/0/service", json!("lecturas"), "/routes/0/service" },
    unknown_class = { "/routes/0/class", json!("fast"), "/routes/0/class" },
    route_twice = { "/routes/1/method", json!("GET"), "/routes/1" },
    attempts = { "/classes/2/attempts", json!(2), "/classes/2/attempts" },
    few_connections = { "/services/0/connections", json!(3), "/services/0/connections" },
    few_shards = { "/services/0/shards", json!(15), "/services/0/shards" },
    few_pooled_shards = { "/services/1/shards", json!(3), "/services/1/shards" },
    buffer = { "/limits/buffered_body_bytes", json!(134_217_729), "/limits/buffered_body_bytes" },
    no_targets = { "/services/0/targets", json!([]), "/services/0/targets" },
    null = { "/limits", json!(null), "/limits" },
)]
fn an_invalid_value_is_reported_at_its_place(place: &str, value: Value, finding: &str) {
    let places = places(place, value);
    assert!(places.iter().any(|place| place == finding), "{places:?}");
}

/// Guards against a placement that assigns a shard to no group or to two groups, or that names a
/// group without a coordinator.
#[yare::parameterized(
    gap = { json!([["med/0", 0, 99], ["bog/0", 101, 255]]), "", "no range has shards 100 to 100" },
    gap_at_the_ends = { json!([["med/0", 1, 254]]), "", "no range has shards 0 to 0, 255 to 255" },
    overlap = { json!([["med/0", 0, 99], ["bog/0", 90, 255]]), "/1/first", "shards 90 to 99 are placed twice" },
    inside = { json!([["med/0", 0, 255], ["bog/0", 5, 9]]), "/1/first", "shards 5 to 9 are placed twice" },
    beyond = { json!([["med/0", 0, 256]]), "/0/last", "256" },
    reversed = { json!([["med/0", 0, 255], ["bog/0", 9, 5]]), "/1/last", "5" },
    huge = { json!([["med/0", 0, u64::MAX]]), "/0/last", "18446744073709551615" },
    group_twice = { json!([["med/0", 0, 99], ["med/0", 100, 255]]), "/1/group", "\"lectura/med/0\" is also at /services/0/placement/0/group" },
    no_such_number = { json!([["med/1", 0, 255]]), "/0/group", "no group \"lectura/med/1\": no targets of the service form it" },
    no_such_domain = { json!([["lim/0", 0, 255]]), "/0/group", "no group \"lectura/lim/0\": no targets of the service form it" },
    not_a_group = { json!([["med", 0, 255]]), "/0/group", "\"lectura/med\"" },
    leading_zero = { json!([["med/00", 0, 255]]), "/0/group", "\"lectura/med/00\"" },
    empty = { json!([]), "", "a list of 0 items" },
)]
fn an_invalid_placement_is_reported_at_its_place(rows: Value, place: &str, problem: &str) {
    let row = |row: &Value| json!({"group": format!("lectura/{}", row[0].as_str().unwrap()), "first": row[1], "last": row[2]});
    let rows: Vec<_> = rows.as_array().unwrap().iter().map(row).collect();
    let mut document = andina();
    document["services"][0]["placement"] = json!(rows);
    let report = check::value(&document);
    let found: Vec<_> =
        report.findings().iter().map(|found| (&*found.place, &*found.problem)).collect();
    assert_eq!(found, [(&*format!("/services/0/placement{place}"), problem)]);
}

/// Guards against a check that stops at the first finding or skips relations after a shape error.
#[test]
fn shape_and_relation_findings_are_reported_together() {
    let mut document = andina();
    document["format"] = json!("1");
    document["routes"][0]["class"] = json!("none");
    document["services"][0]["slots"] = json!(0);
    let Err(Error::Invalid(report)) = check::parse(&document.to_string()) else { panic!() };
    let places: Vec<_> = report.findings().iter().map(|finding| &*finding.place).collect();
    assert_eq!(places, ["/format", "/services/0/slots", "/routes/0/class"]);
    let found = &report.findings()[2];
    assert_eq!(found.problem, "unknown class \"none\"");
    assert_eq!(found.allowed, "download, order, reading, report, status");
}

/// Guards against a finding for a service that has no targets in some failure domain.
#[test]
fn a_domain_without_targets_of_a_service_is_allowed() {
    let mut document = andina();
    for target in document["services"][3]["targets"].as_array_mut().unwrap() {
        target["failure_domain"] = json!("med");
    }
    assert!(check::value(&document).is_empty());
}

/// Guards against a duplicate field of which one value is silently ignored.
#[test]
fn a_duplicate_field_is_a_finding() {
    let text = ANDINA.replacen("\"format\": 1", "\"format\": 1, \"format\": 1", 1);
    let Err(Error::Invalid(report)) = check::parse(&text) else { panic!() };
    assert!(report.findings()[0].problem.contains("duplicate field `format`"), "{report}");
}

#[test]
fn a_syntax_error_reports_its_line() {
    let Err(Error::Syntax { line, .. }) = check::parse("{\n\"format\": }") else { panic!() };
    assert_eq!(line, 2);
}

/// Guards against a published schema that differs from the checks. Both are derived from the same
/// rules; the file is the output of `caraway-ctl schema`.
#[test]
fn the_published_schema_is_current() {
    let published: Value =
        serde_json::from_str(include_str!("../../../docs/environment.schema.json")).unwrap();
    assert_eq!(published, rule::json_schema());
}

/// Adds the rows of the reference table for the fields of a rule.
fn table_rows(rule: &Rule, all: &mut Vec<String>) {
    match rule {
        Rule::List(item, ..) => table_rows(item, all),
        Rule::Object(fields) => {
            for field in *fields {
                let allowed = match field.rule {
                    Rule::Object(_) => "an object, see below".into(),
                    _ => field.rule.allowed(),
                };
                let optional = if field.required { "" } else { " (optional)" };
                all.push(format!(
                    "| `{}` | {allowed}{optional} | {} |",
                    field.name, field.description
                ));
                table_rows(&field.rule, all);
            }
        }
        Rule::Name
        | Rule::Group
        | Rule::Prefix
        | Rule::Address
        | Rule::Integer(..)
        | Rule::Boolean
        | Rule::Choice(_) => {}
    }
}

/// Guards against a reference page with limits that differ from the checks.
#[test]
fn the_reference_page_is_current() {
    let page = include_str!("../../../docs/configuration.md");
    let mut expected = Vec::new();
    table_rows(&rule::DOCUMENT, &mut expected);
    for row in expected {
        assert!(page.lines().any(|line| line == row), "{row}");
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "\\PC{0,80}".prop_map(Value::from),
        "[a-z0-9/:.-]{0,20}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            vec(("[a-z_~/]{0,12}", inner), 0..4)
                .prop_map(|members| Value::Object(members.into_iter().collect())),
        ]
    })
}

/// Collects the JSON pointers to `value` and to all values inside it.
fn pointers(value: &Value, place: &str, all: &mut Vec<String>) {
    all.push(place.to_owned());
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                let name = name.replace('~', "~0").replace('/', "~1");
                pointers(value, &format!("{place}/{name}"), all);
            }
        }
        Value::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                pointers(value, &format!("{place}/{index}"), all);
            }
        }
        _ => {}
    }
}

proptest! {
    /// Guards against a panic on a modified document, and against a document that passes validation
    /// but from which no plan can be derived.
    #[test]
    fn a_mutated_document_never_panics(changes in vec((any::<Index>(), any_json()), 1..4)) {
        let mut document = andina();
        document["services"][0]["placement"] = json!([
            {"group": "lectura/med/0", "first": 0, "last": 63},
            {"group": "lectura/man/0", "first": 64, "last": 255},
        ]);
        for (index, value) in changes {
            let mut all = Vec::new();
            pointers(&document, "", &mut all);
            if let Some(place) = document.pointer_mut(&all[index.index(all.len())]) {
                *place = value;
            }
        }
        match check::parse(&document.to_string()) {
            Ok(document) => prop_assert!(Plan::try_new(&document, 1).is_ok()),
            Err(Error::Invalid(report)) => prop_assert!(!report.is_empty()),
            Err(error) => prop_assert!(false, "{error}"),
        }
    }

    /// Guards against a panic on truncated or corrupted text.
    #[test]
    fn a_corrupted_text_never_panics(cut in any::<Index>(), text in "\\PC{0,20}") {
        let at = cut.index(ANDINA.len());
        let _ = check::parse(&ANDINA[..at]);
        let _ = check::parse(&format!("{}{text}{}", &ANDINA[..at], &ANDINA[at..]));
        let _ = check::parse(&text);
        let _ = Envelope::parse(&format!("{{\"write_id\":\"w\",\"document\":{}}}", &ANDINA[..at]));
        let _ = Envelope::parse(&text);
    }

    /// Guards against a place that is not the JSON pointer of the invalid value.
    #[test]
    fn a_null_value_is_reported_at_its_place(index in any::<Index>()) {
        let mut document = andina();
        let mut all = Vec::new();
        pointers(&document, "", &mut all);
        let place = &all[index.index(all.len())];
        *document.pointer_mut(place).unwrap() = Value::Null;
        let report = check::value(&document);
        prop_assert_eq!(&report.findings()[0].place, place);
    }
}

/// Guards against an envelope that changes when it is stored and parsed again.
#[test]
fn an_envelope_round_trips() {
    let document = check::parse(ANDINA).unwrap();
    let envelope = Envelope { write_id: "w-1".into(), document };
    assert_eq!(Envelope::parse(&envelope.to_text()), Ok(envelope));
}

/// Guards against instances that derive a different plan from the stored text than the tools derive
/// from the document.
#[yare::parameterized(andina = { ANDINA }, thurgau = { THURGAU })]
fn a_stored_text_yields_the_plan_of_its_document(text: &str) {
    let document = check::parse(text).unwrap();
    let plan = Plan::try_new(&document, 7).unwrap();
    let stored = Envelope { write_id: "w-1".into(), document }.to_text();
    assert_eq!(Plan::parse_stored(&stored, 7), Ok(plan));
}

/// Guards against a plan derived from a stored text without validation.
#[test]
fn a_stored_text_with_a_finding_yields_no_plan() {
    let mut document = andina();
    document["routes"][0]["service"] = json!("nada");
    let stored = json!({ "write_id": "w-1", "document": document }).to_string();
    let Err(Error::Invalid(report)) = Plan::parse_stored(&stored, 1) else { panic!() };
    assert_eq!(report.findings()[0].place, "/routes/0/service");
}

#[yare::parameterized(
    plain_document = { andina() },
    no_write_id = { json!({"document": andina()}) },
    empty_write_id = { json!({"write_id": "", "document": andina()}) },
    long_write_id = { json!({"write_id": "x".repeat(65), "document": andina()}) },
    number = { json!({"write_id": 4, "document": andina()}) },
    no_document = { json!({"write_id": "w"}) },
    bad_document = { json!({"write_id": "w", "document": {}}) },
    more = { json!({"write_id": "w", "document": andina(), "by": "x"}) },
    list = { json!([]) },
)]
fn a_text_that_is_not_an_envelope_is_rejected(value: Value) {
    assert!(matches!(Envelope::parse(&value.to_string()), Err(Error::Invalid(_))));
}
