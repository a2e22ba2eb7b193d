//! Tests of the settings of an entry instance.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::unwrap_used)]

use serde_json::Value;
use serde_json::json;

use caraway_entry::errors::Error;
use caraway_entry::settings::Settings;

fn valid() -> Value {
    json!({
        "instance": "med-1", "failure_domain": "med", "environment": "andina",
        "client_address": "127.0.0.1:20101", "peer_address": "127.0.0.1:20102",
        "control_address": "127.0.0.1:20103", "admin_address": "[::1]:20104",
        "store": "http://127.0.0.1:20000",
    })
}

fn read(value: &Value) -> Settings {
    serde_json::from_value(value.clone()).unwrap()
}

fn places(settings: &Settings) -> Vec<String> {
    match settings.try_check() {
        Ok(_) => Vec::new(),
        Err(Error::Settings(report)) => {
            report.findings().iter().map(|finding| finding.place.clone()).collect()
        }
        Err(error) => panic!("{error}"),
    }
}

/// Guards against defaults that differ from the reference documentation, and against swapped
/// addresses.
#[test]
fn valid_settings_have_addresses_and_defaults() {
    let settings = read(&valid());
    let addresses = settings.try_check().unwrap();
    let ports = [addresses.client, addresses.peer, addresses.control, addresses.admin];
    assert_eq!(ports.map(|address| address.port()), [20101, 20102, 20103, 20104]);
    assert_eq!(settings.stage, "production");
    assert_eq!((settings.log.format.as_str(), settings.log.level.as_str()), ("text", "info"));
    assert_eq!(settings.log.file, None);
}

/// Guards against a check that stops at the first finding, so that an operator needs one start per
/// finding.
#[test]
fn all_findings_are_reported_together() {
    let expected = [
        "/instance",
        "/failure_domain",
        "/environment",
        "/stage",
        "/log/format",
        "/log/level",
        "/store",
        "/client_address",
        "/peer_address",
        "/control_address",
        "/admin_address",
    ];
    let log = json!({"format": "xml", "level": "loud"});
    assert_eq!(places(&read(&json!({"stage": "test", "log": log}))), expected);
}

/// Guards against an invalid value that passes the check and makes the instance fail later.
#[yare::parameterized(
    slash_in_name = { "instance", json!("med/1") },
    space_in_name = { "environment", json!("and ina") },
    other_stage = { "stage", json!("Production") },
    host_name = { "client_address", json!("localhost:80") },
    no_port = { "peer_address", json!("127.0.0.1") },
    port_zero = { "control_address", json!("127.0.0.1:0") },
    large_port = { "admin_address", json!("127.0.0.1:65536") },
    other_scheme = { "store", json!("https://127.0.0.1:20000") },
    store_without_address = { "store", json!("http://") },
    store_with_path = { "store", json!("http://127.0.0.1:20000/") },
    store_without_port = { "store", json!("http://127.0.0.1") },
)]
fn an_invalid_value_is_reported_at_its_field(field: &str, value: Value) {
    let mut settings = valid();
    settings.as_object_mut().unwrap().insert(field.to_owned(), value);
    assert_eq!(places(&read(&settings)), [format!("/{field}")]);
}

/// Guards against a misspelled field that is silently ignored, and against an error without the
/// file path.
#[yare::parameterized(
    unknown = { Some("{\"stages\": \"trial\"}"), "unknown field `stages`" },
    unknown_log = { Some("{\"log\": {\"colour\": true}}"), "unknown field `colour`" },
    not_json = { Some("{"), "EOF" },
    absent = { None, "No such file" },
)]
fn the_error_names_a_file_that_cannot_be_read(text: Option<&str>, problem: &str) {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let name = problem.replace([' ', '`'], "-");
    let path = format!("{directory}/settings-{}-{name}.json", std::process::id());
    if let Some(text) = text {
        std::fs::write(&path, text).unwrap();
    }
    let error = Settings::try_read(path.as_ref()).unwrap_err().to_string();
    assert!(error.contains(&path) && error.contains(problem), "{error}");
}
