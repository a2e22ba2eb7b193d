//! Tests of the commands that do not use the store, and of flags and exit codes.

use serde_json::Value;
use serde_json::json;

use crate::andina;
use crate::ctl;
use crate::environment;
use crate::file;

#[yare::parameterized(andina = { "andina", 40 }, thurgau = { "thurgau", 37 })]
fn the_environments_pass_the_check(name: &str, targets: usize) {
    let run = ctl(&["check", &environment(name)]);
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains(&format!("16 groups, {targets} targets")), "{}", run.out);
}

/// Guards against a check that reports only the first finding, or that succeeds despite findings.
#[test]
fn a_check_lists_all_findings() {
    let mut document = andina();
    document["services"][0]["slots"] = json!("4");
    document["routes"][3]["service"] = json!("nada");
    let path = file("findings", &document);
    let run = ctl(&["check", &path]);
    assert_eq!(run.code, 1);
    assert!(run.out.contains("2 findings"), "{}", run.out);
    assert!(run.out.contains("/services/0/slots") && run.out.contains("/routes/3/service"));
    let run = ctl(&["--json", "check", &path]);
    assert_eq!(run.json()["findings"][1]["place"], "/routes/3/service");
}

/// Guards against a usage error with the exit code of a document with findings, which a script could not
/// distinguish.
#[yare::parameterized(
    no_file = { &["check", "/nonexistent.json"] },
    no_command = { &[] },
    unknown_flag = { &["check", "--fast", "x.json"] },
    no_entry = { &["status"] },
    put_production = { &["put", "--store", "http://127.0.0.1:1", "--stage", "production", "x.json"] },
    same_stage = { &["promote", "--store", "http://127.0.0.1:1", "--environment", "andina", "--from", "trial", "--to", "trial"] },
)]
fn a_usage_error_exits_with_code_2(arguments: &[&str]) {
    let run = ctl(arguments);
    assert_eq!(run.code, 2, "{}", run.err);
    assert!(!run.err.is_empty());
}

#[test]
fn help_version_and_completions_are_printed() {
    let help = ctl(&["--help"]);
    assert!(help.code == 0 && help.out.contains("Exit codes:"), "{}", help.out);
    assert!(ctl(&["--version"]).out.starts_with("caraway-ctl "));
    for shell in ["bash", "zsh", "fish"] {
        let run = ctl(&["--completions", shell]);
        assert!(run.code == 0 && run.out.contains("promote"), "{shell}");
    }
}

/// Guards against a diff that does not show the shards that a change would move.
#[test]
fn a_diff_shows_changes_and_moves() {
    let mut document = andina();
    document["limits"]["idle_ms"] = json!(40_000);
    let allowed = file("idle", &document);
    let run = ctl(&["diff", &environment("andina"), &allowed]);
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(run.out, "~ limits data path: idle_ms 30000 -> 40000\n");
    document["services"][0]["targets"].as_array_mut().unwrap().remove(0);
    let refused = file("moves", &document);
    let run = ctl(&["diff", &environment("andina"), &refused]);
    assert_eq!(run.code, 1);
    assert!(run.out.contains("- target lectura-01"), "{}", run.out);
    assert!(run.out.contains("would move from lectura/med/0 to lectura/bog/0"), "{}", run.out);
    let json = ctl(&["diff", "--json", &environment("andina"), &refused]).json();
    assert_eq!(json["moves"][0]["from"], "lectura/med/0");
}

/// Guards against a published schema that differs from the output of the documented command.
#[test]
fn the_schema_is_printed() {
    let published: Value =
        serde_json::from_str(include_str!("../../../../docs/environment.schema.json")).unwrap();
    assert_eq!(ctl(&["schema"]).json(), published);
}

/// Guards against an explicit placement that cannot be promoted unchanged.
#[test]
fn an_explicit_placement_is_printed() {
    let run = ctl(&["placement", &environment("andina")]);
    assert_eq!(run.code, 0, "{}", run.err);
    let document = run.json();
    let row = serde_json::json!({"group": "lectura/bog/0", "first": 64, "last": 127});
    assert_eq!(document["services"][0]["placement"][1], row);
    let path = file("placement", &document);
    let run = ctl(&["diff", &environment("andina"), &path]);
    assert_eq!(run.code, 0, "{}", run.out);
    assert_eq!(run.out.lines().count(), 4, "{}", run.out);
}
