//! Short soak runs: one for CI, and seeds that once violated an invariant.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::time::Duration;

use caraway_soak::plan::Size;
use caraway_soak::run;
use caraway_soak::run::Options;

/// Returns the path of the entry instance's program, which is built into the same target directory.
fn program() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let directory = test.parent().and_then(std::path::Path::parent).unwrap();
    let program = directory.join("caraway-edge");
    assert!(program.exists(), "build all programs first, as .ci/test does");
    program
}

fn assert_no_findings(seed: u64, size: Size, seconds: u64, extended: bool) {
    let duration = Duration::from_secs(seconds);
    let options = Options { seed, size, callers: 16, duration, extended };
    let outcome = run::run(&program(), &options).unwrap();
    if !outcome.findings.is_empty() {
        for (name, log) in &outcome.logs {
            println!("== {name}\n{log}");
        }
    }
    assert!(outcome.findings.is_empty(), "{:#?}", outcome.findings);
    assert!(outcome.record.runs.len() > 200, "too few requests were served");
}

/// Guards against violations of any invariant under overlapping faults.
#[test]
fn a_short_run_violates_no_invariant() {
    assert_no_findings(2, Size::default(), 12, false);
}

/// Guards against violations of any invariant under the additional faults beside the others.
#[test]
fn a_short_run_with_additional_faults_violates_no_invariant() {
    assert_no_findings(2, Size::default(), 12, true);
}
