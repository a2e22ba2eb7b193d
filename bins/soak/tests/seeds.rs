//! Short runs: one in each CI, and the seeds in which a promise was not kept once.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::time::Duration;

use caraway_soak::plan::Size;
use caraway_soak::run;
use caraway_soak::run::Options;

/// Returns the program of the entry instance, which is built beside this test.
fn program() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let directory = test.parent().and_then(std::path::Path::parent).unwrap();
    let program = directory.join("caraway-edge");
    assert!(program.exists(), "build all programs first, as .ci/test does");
    program
}

fn play(seed: u64, size: Size, seconds: u64) {
    let duration = Duration::from_secs(seconds);
    let outcome = run::run(&program(), &Options { seed, size, callers: 16, duration }).unwrap();
    if !outcome.findings.is_empty() {
        for (name, log) in &outcome.logs {
            println!("== {name}\n{log}");
        }
    }
    assert!(outcome.findings.is_empty(), "{:#?}", outcome.findings);
    assert!(outcome.record.runs.len() > 200, "hardly anything was served");
}

/// Guards against every promise that is broken by some faults that overlap.
#[test]
fn a_short_run_keeps_every_promise() {
    play(2, Size::default(), 12);
}
