//! Command line of the soak test.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use caraway_soak::plan;
use caraway_soak::plan::Size;
use caraway_soak::run;
use caraway_soak::run::Options;

/// Injects random faults into real processes of the entry instance.
///
/// Exit codes: 0 every invariant held, 1 an invariant was violated, 2 bad usage or a process could not be
/// started.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Path of the entry instance's program.
    #[arg(long, default_value = "target/release/caraway-edge")]
    program: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds, with one run each.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration of fault injection in each run, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of entry instances.
    #[arg(long, default_value_t = Size::default().instances)]
    instances: usize,
    /// Number of targets of the keyed service.
    #[arg(long, default_value_t = Size::default().keyed)]
    keyed: usize,
    /// Number of targets of the service without keys.
    #[arg(long, default_value_t = Size::default().pooled)]
    pooled: usize,
    /// Number of concurrent callers.
    #[arg(long, default_value_t = 24)]
    callers: usize,
    /// Leaves out the additional faults and the misbehaving clients, as in runs of earlier versions.
    #[arg(long)]
    basic: bool,
    /// Directory for the instance logs of runs that violated an invariant.
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
    /// Prints the fault schedule of the first seed and exits.
    #[arg(long)]
    show: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let size = Size {
        instances: arguments.instances.max(1),
        keyed: arguments.keyed.max(1),
        pooled: arguments.pooled.max(1),
    };
    let duration = Duration::from_secs(arguments.seconds);
    if arguments.show {
        let schedule = if arguments.basic { plan::schedule } else { plan::extended_schedule };
        for step in schedule(arguments.seed, &size, duration) {
            println!(
                "{:8.3} s for {:6.3} s {:?}",
                step.at.as_secs_f64(),
                step.duration.as_secs_f64(),
                step.fault
            );
        }
        return ExitCode::SUCCESS;
    }
    let mut all_passed = true;
    for seed in arguments.seed..arguments.seed.saturating_add(arguments.seeds) {
        let (callers, extended) = (arguments.callers, !arguments.basic);
        let options = Options { seed, size, callers, duration, extended };
        let outcome = match run::run(&arguments.program, &options) {
            Ok(outcome) => outcome,
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(2);
            }
        };
        let (calls, runs) = (outcome.record.calls.len(), outcome.record.runs.len());
        println!("seed {seed}: {calls} calls, {runs} runs, {} findings", outcome.findings.len());
        for finding in outcome.findings.iter().take(20) {
            println!("  {}: {}", finding.promise, finding.detail);
        }
        all_passed &= outcome.findings.is_empty();
        let directory = arguments.logs.join(seed.to_string());
        for (name, log) in outcome.logs {
            let file = directory.join(format!("{name}.log"));
            if let Err(error) = fs::create_dir_all(&directory).and_then(|()| fs::write(&file, log))
            {
                eprintln!("{}: {error}", file.display());
            }
        }
    }
    if all_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
