//! Entry instance for the production platform.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempt;
mod capacity;
mod evacuation;
mod explain;
mod forward;
mod grant;
mod http;
mod ingress;
mod leader;
mod memory;
mod metrics;
mod peers;
mod pool;
mod probe;
mod process;
mod reason;
mod response;
mod shutdown;
mod state;
mod store;
mod sync;
mod warmup;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use caraway_adapter::settings;

/// Entry instance for the production platform.
///
/// Exit codes: 0 success, 1 runtime failure, 2 bad usage or settings.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Path of the settings file; defaults to the path that the platform sets in the environment.
    #[arg(long, env = settings::PATH_VARIABLE)]
    settings: PathBuf,
    /// Checks the settings, prints all findings and exits.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match process::read_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{}: {finding}", arguments.settings.display());
            }
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("{}: valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match process::run(&arguments.settings, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
