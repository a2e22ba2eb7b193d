//! Tests of child processes and port ranges.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use caraway_demo::child::Process;
use caraway_demo::port::Range;

fn shell(name: &str, script: &str) -> Process {
    let log = std::env::temp_dir().join(format!("caraway-{}-{name}.log", std::process::id()));
    Process::new(name, Path::new("/bin/sh"), vec!["-c".to_owned(), script.to_owned()], log)
}

fn state(id: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    stat.rsplit_once(") ")?.1.chars().next()
}

/// Guards against processes that outlive their environment because they are frozen or ignore SIGTERM.
#[test]
fn a_dropped_process_is_killed() {
    let mut process = shell("dropped", "trap '' TERM; echo ready; exec sleep 30");
    process.start().unwrap();
    let id = process.id().unwrap();
    while !process.log_tail().contains("ready") {
        std::thread::sleep(Duration::from_millis(5));
    }
    process.terminate();
    process.freeze();
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(state(id), Some('T'));
    drop(process);
    assert_eq!(state(id), None);
}

/// Guards against the exit of a process that goes unnoticed.
#[test]
fn an_unexpected_exit_is_reported_with_the_log() {
    let mut process = shell("early", "echo cannot bind; exit 3");
    process.start().unwrap();
    while process.id().is_some() {
        if let Err(error) = process.check_running() {
            let text = error.to_string();
            assert!(text.contains("exit status: 3") && text.contains("cannot bind"), "{text}");
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("the exit was not reported");
}

/// Guards against two environments that use the same ports.
#[test]
fn ranges_do_not_overlap() {
    let first = Range::reserve(None, 50).unwrap();
    let second = Range::reserve(None, 50).unwrap();
    assert!(first.address(0).port().abs_diff(second.address(0).port()) >= 50);
    assert!(Range::reserve(Some(first.address(0).port()), 50).is_err());
}
