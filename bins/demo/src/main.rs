//! `caraway-demo`: starts a complete environment on loopback, generates load and injects faults.
//!
//! Exit codes: 0 success, 1 runtime failure or violated invariant, 2 usage error.

#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use serde::Serialize;

use caraway_demo::bench;
use caraway_demo::builder::Builder;
use caraway_demo::environment::Environment;
use caraway_demo::environment::Kind;
use caraway_demo::errors::Error;
use caraway_demo::errors::Result;
use caraway_demo::fixture;
use caraway_demo::recovery;
use caraway_demo::schedule;
use caraway_demo::schedule::Candidates;
use caraway_demo::schedule::Step;
use caraway_demo::session;
use caraway_demo::traffic;

/// Starts a complete environment on loopback, generates load, injects faults and prints a report.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Options {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    demo: DemoOptions,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a small environment under random faults and pairs of faults.
    Soak(SoakOptions),
    /// Measures the unavailability of keys after faults and pairs of faults.
    Recovery(RecoveryOptions),
    /// Compares direct requests to targets with requests through entry instances.
    Bench(BenchOptions),
}

#[derive(Args)]
struct DemoOptions {
    /// Environment document.
    #[arg(long, default_value = "environments/andina.json")]
    environment: PathBuf,
    /// Duration of the load in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Injects faults.
    #[arg(long)]
    faults: bool,
    /// Number of entry instances in each failure domain.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    #[command(flatten)]
    common: CommonOptions,
}

#[derive(Args)]
struct SoakOptions {
    /// Duration of the load in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    #[command(flatten)]
    common: CommonOptions,
}

#[derive(Args)]
struct RecoveryOptions {
    /// Number of runs of each scenario.
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Runs only scenarios whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,
    /// Prints JSON instead of a Markdown table.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct BenchOptions {
    /// Duration of each measurement of a comparison in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Service time of the targets in milliseconds.
    #[arg(long, default_value_t = 1)]
    service_ms: u64,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct CommonOptions {
    /// Seed of the load and the faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests per second.
    #[arg(long, default_value_t = 400.0)]
    rate: f64,
    /// First port. By default, a free port range is chosen.
    #[arg(long)]
    base_port: Option<u16>,
    /// Directory of the programs. By default, the directory of this program.
    #[arg(long)]
    programs: Option<PathBuf>,
    /// Keeps the directory with settings and logs.
    #[arg(long)]
    keep: bool,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let interrupted = Arc::new(AtomicBool::new(false));
    let result = register_signals(&interrupted).and_then(|()| match &options.command {
        None => run_demo(&options.demo, &interrupted),
        Some(Command::Soak(soak)) => run_soak(soak, &interrupted),
        Some(Command::Recovery(recovery)) => run_recovery(recovery, &interrupted),
        Some(Command::Bench(options)) => run_bench(options),
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("caraway-demo: {error}");
            ExitCode::from(if matches!(error, Error::Document(_)) { 2 } else { 1 })
        }
    }
}

fn register_signals(interrupted: &Arc<AtomicBool>) -> Result<()> {
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(interrupted))
            .map_err(|error| Error::io("signal handler", error))?;
    }
    Ok(())
}

fn run_demo(options: &DemoOptions, interrupted: &AtomicBool) -> Result<bool> {
    let text = std::fs::read_to_string(&options.environment)
        .map_err(|error| Error::io(&options.environment.to_string_lossy(), error))?;
    let mut builder = Builder::new(fixture::parse(&text)?);
    builder.entries_per_domain = options.entries;
    let steps = |environment: &Environment, duration: Duration| match options.faults {
        true => schedule::demo(&Candidates::new(environment), options.common.seed, duration),
        false => Vec::new(),
    };
    run(builder, &options.common, options.seconds, interrupted, steps)
}

fn run_soak(options: &SoakOptions, interrupted: &AtomicBool) -> Result<bool> {
    let size = fixture::Size { targets: 3, ..fixture::Size::default() };
    let mut builder = Builder::new(fixture::document(&size)?);
    builder.entries_per_domain = 3;
    let steps = |environment: &Environment, duration: Duration| {
        schedule::random(&Candidates::new(environment), options.common.seed, duration)
    };
    run(builder, &options.common, options.seconds, interrupted, steps)
}

fn run(
    mut builder: Builder,
    common: &CommonOptions,
    seconds: u64,
    interrupted: &AtomicBool,
    steps: impl FnOnce(&Environment, Duration) -> Vec<Step>,
) -> Result<bool> {
    builder.base_port = common.base_port;
    builder.programs.clone_from(&common.programs);
    builder.keep_directory = common.keep;
    let started = std::time::Instant::now();
    let mut environment = builder.start()?;
    eprintln!(
        "{} entry instances and {} targets serve {} groups after {:.1} s",
        environment.names(Kind::Entry).len(),
        environment.names(Kind::Target).len(),
        environment.plan().groups.len(),
        started.elapsed().as_secs_f64()
    );
    let duration = Duration::from_secs(seconds);
    let steps = steps(&environment, duration);
    let load = traffic::Options {
        seed: common.seed,
        seconds: duration.as_secs_f64(),
        arrival: caraway_load::profile::Arrival::Open {
            rate: common.rate,
            connections: 256,
            poisson: true,
        },
        ..traffic::Options::default()
    };
    let profile = traffic::profile(&environment, &load);
    let outcome = session::run(&mut environment, &profile, &steps, interrupted)?;
    print(&outcome, common.json)?;
    let failed = environment.stop()?;
    if !failed.is_empty() {
        eprintln!("did not exit with code 0 after the planned stop: {}", failed.join(", "));
    }
    Ok(outcome.clean())
}

fn run_recovery(options: &RecoveryOptions, interrupted: &AtomicBool) -> Result<bool> {
    let rows = recovery::measure(options.runs, &options.only, interrupted)?;
    if options.json {
        print_json(&rows)?;
    } else {
        print!("{}", recovery::table(&rows));
    }
    Ok(rows.iter().all(|row| row.bad_answers == 0))
}

fn run_bench(options: &BenchOptions) -> Result<bool> {
    let (seconds, service_ms) = (options.seconds, options.service_ms);
    let results = bench::run(&bench::Options { seconds, service_ms })?;
    print(&results, options.json)?;
    Ok(results.closed.routed.report.clean() && results.half.routed.report.clean())
}

fn print<T: Serialize + std::fmt::Display>(value: &T, json: bool) -> Result<()> {
    if json {
        return print_json(value);
    }
    print!("{value}");
    Ok(())
}

fn print_json<T: Serialize>(value: &T) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
