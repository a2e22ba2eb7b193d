//! Tests of `explain log` with recorded log lines.

use crate::ctl;

fn log(name: &str, lines: &[&str]) -> String {
    let path = format!("{}/{}-{name}.log", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, lines.join("\n")).unwrap();
    path
}

const MOVED: &str = r#"{"event":320,"level":"info","message":"owners of term 19, change 11, are in use","name":"owners-applied","time":"2026-07-01T10:14:53.926Z","term":19,"change":11}"#;
const UNREACHED: &str = r#"{"event":217,"level":"warn","message":"target i-5c of k could not be reached: reset","name":"target-unreached","target":"i-5c","service":"k","time":"2026-07-01T10:14:53.362Z"}"#;
const REPEATED: &str = r#"{"event":412,"level":"info","message":"request r1 is sent once more after i-5c: the target cannot be reached","name":"request-repeated","request_id":"r1","target":"i-5c","reason":"the target cannot be reached","time":"2026-07-01T10:14:53.400Z"}"#;
const REFUSED: &str = r#"{"event":410,"level":"warn","message":"request r1 was refused and has not run: the target cannot be reached","name":"request-refused","request_id":"r1","reason":"the target cannot be reached","time":"2026-07-01T10:14:53.950Z"}"#;
const OTHER: &str = r#"{"event":411,"level":"warn","message":"request r2 was answered with 502: the connection broke","name":"request-failed","request_id":"r2","target":"i-7","reason":"the connection broke","time":"2026-07-01T10:14:54.000Z"}"#;

/// Guards against lines out of order, lines of other requests, and a missing cause.
#[test]
fn a_request_is_traced_through_several_logs() {
    let first = log("edge-1", &[REFUSED, UNREACHED, "not JSON", MOVED]);
    let prefixed: Vec<String> =
        [REPEATED, OTHER].iter().map(|line| format!("   1.25 edge-2 {line}")).collect();
    let second = log("edge-2", &prefixed.iter().map(String::as_str).collect::<Vec<_>>());
    let run = ctl(&["explain", "log", "r1", &first, &second]);
    assert_eq!(run.code, 0, "{}", run.err);
    let lines: Vec<&str> = run.out.lines().collect();
    assert_eq!(lines.iter().filter(|line| line.starts_with("> ")).count(), 2, "{}", run.out);
    assert!(lines[0].contains("217 target-unreached"), "{}", run.out);
    assert!(lines.iter().any(|line| line.contains("edge-2 412")), "{}", run.out);
    assert!(!run.out.contains("r2"), "{}", run.out);
    let cause = "cause: the target cannot be reached; the target takes no connections";
    assert_eq!(lines.last(), Some(&cause));
}

/// Guards against an explanation for an unknown request.
#[test]
fn an_unknown_request_is_reported_as_unknown() {
    let path = log("edge-3", &[OTHER]);
    let run = ctl(&["explain", "log", "r9", &path]);
    assert_eq!(run.code, 1);
    assert!(run.out.contains("no line names request r9"), "{}", run.out);
}

/// Guards against a cause that does not match the reason, and against a missing log file that goes
/// unreported.
#[test]
fn the_cause_matches_the_reason() {
    let path = log("edge-4", &[OTHER]);
    let run = ctl(&["explain", "log", "r2", &path]);
    assert!(run.out.ends_with("it crashed, or was full\n"), "{}", run.out);
    let missing = ctl(&["explain", "log", "r2", "/nonexistent/edge.log"]);
    assert_eq!(missing.code, 2);
    assert!(missing.err.contains("/nonexistent/edge.log"), "{}", missing.err);
}
