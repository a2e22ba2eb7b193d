//! The cases.

mod late_request;
mod pipelined_stop;
mod slow_reader;
mod two_owners;
mod wrong_service;

use crate::Failure;
use crate::Verdict;
use crate::record::Record;

/// Runs a case, with or without its disruption.
pub fn run(case: &str, trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    match case {
        "wrong-service" => wrong_service::run(trouble, record),
        "two-owners" => two_owners::run(trouble, record),
        "pipelined-stop" => pipelined_stop::run(trouble, record),
        "slow-reader" => slow_reader::run(trouble, record),
        "late-request" => late_request::run(trouble, record),
        _ => Err(format!("unknown case {case}").into()),
    }
}
