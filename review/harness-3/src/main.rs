//! Drivers of the cases of the third review. Each starts processes of `caraway-edge` with stand-ins of the platform, the
//! servers and the clients, writes what was seen to `record.txt`, and judges one rule.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod client;
mod crash_midway;
mod deployment;
mod late_refusal;
mod lost_ahead;
mod odd_entry;
mod record;
mod server;
mod unsigned;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// Result of a case: whether the rule held, or why the case could not run.
type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let Some(directory) = arguments.next().map(PathBuf::from) else {
        eprintln!("usage: review-3 CASE DIRECTORY");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&directory.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {name}, trouble {}", if trouble { "on" } else { "off" }));
    let verdict = match name.as_str() {
        "late-refusal" => late_refusal::run(&record, trouble),
        "odd-entry" => odd_entry::run(&record, trouble),
        "crash-midway" => crash_midway::run(&record, trouble),
        "lost-ahead" => lost_ahead::run(&record, trouble),
        "unsigned" => unsigned::run(&record, trouble),
        _ => Err(format!("unknown case {name}")),
    };
    match verdict {
        Ok(true) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("verdict: could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
