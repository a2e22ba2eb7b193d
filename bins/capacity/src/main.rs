//! `caraway-capacity`: measures what an environment costs per process, in several sizes on loopback.
//!
//! Exit codes: 0 success, 1 failure at run time, 2 bad usage.

#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use caraway_capacity::errors::Result;
use caraway_capacity::parse;
use caraway_capacity::report;
use caraway_capacity::report::Report;
use caraway_capacity::series::Factor;
use caraway_capacity::trial;

/// Most processes of one environment; the machine is shared.
const MAX_PROCESSES: usize = 300;

/// Measures CPU time, memory, control messages and store calls per process, and their slopes.
#[derive(Parser)]
#[command(version, about)]
struct Options {
    /// Only factors whose name contains this text; `documents` measures only the reading of documents.
    #[arg(long, default_value = "")]
    only: String,
    /// Length of each window in seconds.
    #[arg(long, default_value_t = 4)]
    window: u64,
    /// Times that each size is measured.
    #[arg(long, default_value_t = 1)]
    repeats: usize,
    /// Waits before each size until the load average of the machine is at most this.
    #[arg(long)]
    calm_below: Option<f64>,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let result = measure(&options).and_then(|report| {
        if options.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print!("{}", report.tables());
        }
        Ok(())
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("caraway-capacity: {error}");
            ExitCode::from(1)
        }
    }
}

fn measure(options: &Options) -> Result<Report> {
    let window = Duration::from_secs(options.window);
    let mut report = Report { window_s: window.as_secs_f64(), ..Report::default() };
    if "documents".contains(&options.only) {
        report.documents = parse::measure()?;
    }
    for factor in Factor::ALL.into_iter().filter(|one| one.as_str().contains(&options.only)) {
        for (value, size) in factor.sizes() {
            if size.processes() > MAX_PROCESSES {
                continue;
            }
            for _ in 0..options.repeats {
                wait_for_load(options.calm_below);
                // A size that fails on a busy machine must not lose the others.
                match trial::measure(factor, value, &size, window) {
                    Ok(rows) => report.rows.extend(rows),
                    Err(error) => eprintln!("{} {value}: {error}", factor.as_str()),
                }
            }
        }
    }
    report.slopes = report::slopes(&report.rows);
    Ok(report)
}

/// Waits until the machine is calm enough, at most one minute.
fn wait_for_load(limit: Option<f64>) {
    let Some(limit) = limit else { return };
    for _ in 0..60 {
        if trial::load_average() <= limit {
            return;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}
