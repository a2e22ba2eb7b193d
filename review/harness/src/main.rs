//! Runs a case of the review. Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case
//! could not run.

mod cases;
mod deployment;
mod edge;
mod limit;
mod record;
mod server;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: caraway-review CASE RECORD, in the folder of the case");
        return ExitCode::from(2);
    };
    let record = PathBuf::from(record);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = match std::env::current_dir() {
        Ok(folder) => folder.join("../.."),
        Err(error) => {
            eprintln!("the folder of the case cannot be found: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "handover" => cases::handover::run(&root, &record, trouble),
        "memory" => cases::memory::run(&root, &record, trouble),
        "upload" => cases::upload::run(&root, &record, trouble),
        _ => Err(format!("unknown case {case:?}")),
    };
    match result {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
