//! Runs one case of the review against processes of the deploy file.
//!
//! Usage: `review-harness-2 CASE RECORD`. With `TROUBLE=0` in the environment, the case runs without its
//! disruption. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.

mod cases;
mod client;
mod edge;
mod pipeline;
mod record;
mod server;
mod setup;

use std::process::ExitCode;

use crate::record::Record;

/// Result of a case.
pub struct Verdict {
    /// Whether the rule was broken.
    pub broken: bool,
    /// What was seen, in one line.
    pub summary: String,
}

/// Reason why a case could not run.
pub type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-harness-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = Record::create(path).map_err(Failure::from).and_then(|record| {
        record.note(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
        let verdict = cases::run(case, trouble, &record)?;
        record.note(&verdict.summary);
        record.note(if verdict.broken { "the rule was broken" } else { "the rule held" });
        Ok(verdict)
    });
    match result {
        Ok(verdict) => {
            println!("{}", verdict.summary);
            ExitCode::from(u8::from(verdict.broken))
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
