//! `caraway-capacity`: measures the resource usage per process of environments of several sizes on loopback.
//!
//! Exit codes: 0 success, 1 runtime failure, 2 invalid usage.

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

/// Maximum number of processes of an environment, because the machine is shared.
const MAX_PROCESSES: usize = 300;

/// Measures CPU time, memory, control messages and store calls per process, and how they grow with the size.
#[derive(Parser)]
#[command(version, about)]
struct Options {
    /// Measures only factors whose name contains this text; `documents` measures only the cost of documents.
    #[arg(long, default_value = "")]
    only: String,
    /// Length of each measurement window in seconds.
    #[arg(long, default_value_t = 4)]
    window: u64,
    /// Number of measurements of each size.
    #[arg(long, default_value_t = 1)]
    repeats: usize,
    /// Waits before each measurement, at most one minute, until the load average of the machine has fallen to
    /// this value.
    #[arg(long)]
    calm_below: Option<f64>,
    /// Prints the report as JSON.
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
    for factor in Factor::ALL.into_iter().filter(|factor| factor.as_str().contains(&options.only)) {
        for (value, size) in factor.sizes() {
            if size.processes() > MAX_PROCESSES {
                continue;
            }
            for _ in 0..options.repeats {
                wait_for_load_average(options.calm_below);
                // A failed measurement, for example on a busy machine, must not discard the other results.
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

/// Waits until the load average has fallen to the limit, at most one minute.
fn wait_for_load_average(limit: Option<f64>) {
    let Some(limit) = limit else { return };
    for _ in 0..60 {
        if trial::load_average() <= limit {
            return;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}
