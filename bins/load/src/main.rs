//! `caraway-load`: load generator, response verifier and benchmark.
//!
//! Exit codes: 0 success, 1 runtime failure or violated invariant, 2 invalid usage or profile.

#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use serde::Serialize;

use caraway_load::bench;
use caraway_load::errors::Error;
use caraway_load::errors::Result;
use caraway_load::journal;
use caraway_load::journal::Journals;
use caraway_load::profile::Profile;
use caraway_load::report::Report;
use caraway_load::run;

/// Sends load to entry instances and verifies every response.
#[derive(Parser)]
#[command(version, about)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a profile and verifies the responses and journals.
    Run(RunOptions),
    /// Compares direct requests to targets with requests through entry instances.
    Bench(BenchOptions),
    /// Opens idle connections and measures the memory usage of processes.
    Idle(IdleOptions),
    /// Runs a profile with large bodies and samples the memory usage of processes.
    Large(LargeOptions),
}

#[derive(Args)]
struct RunOptions {
    /// Profile file.
    profile: PathBuf,
    /// Latency threshold in milliseconds above which a key counts as unavailable.
    #[arg(long, default_value_t = 250)]
    slow_ms: u64,
    /// Prints the result as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct BenchOptions {
    /// Profile file.
    profile: PathBuf,
    /// Address of a target that accepts direct requests.
    #[arg(long, required = true)]
    direct: Vec<SocketAddr>,
    /// Process whose CPU time and memory usage are measured.
    #[arg(long)]
    pid: Vec<u32>,
    /// Prints the result as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct IdleOptions {
    /// Address of an entry instance.
    #[arg(long, required = true)]
    entry: Vec<SocketAddr>,
    /// Number of connections.
    #[arg(long, default_value_t = 1000)]
    connections: usize,
    /// Seconds for which the connections are held open.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Process whose CPU time and memory usage are measured.
    #[arg(long)]
    pid: Vec<u32>,
}

#[derive(Args)]
struct LargeOptions {
    /// Profile file.
    profile: PathBuf,
    /// Process whose memory usage is measured.
    #[arg(long)]
    pid: Vec<u32>,
}

fn main() -> ExitCode {
    let result = match Options::parse().command {
        Command::Run(options) => run_profile(&options),
        Command::Bench(options) => run_bench(&options),
        Command::Idle(options) => {
            let hold = Duration::from_secs(options.seconds);
            bench::idle(&options.entry, options.connections, hold, &options.pid)
                .and_then(|idle| print_json(&idle))
                .map(|()| true)
        }
        Command::Large(options) => Profile::read(&options.profile)
            .and_then(|profile| bench::large(&profile, &options.pid))
            .and_then(|large| print_json(&large).map(|()| large.report.clean())),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("caraway-load: {error}");
            match error {
                Error::Json(_) | Error::Profile(_) => ExitCode::from(2),
                Error::Io(_) | Error::Thread | Error::Control { .. } => ExitCode::from(1),
            }
        }
    }
}

fn run_profile(options: &RunOptions) -> Result<bool> {
    let profile = Profile::read(&options.profile)?;
    let record = run::run_to_completion(profile.clone())?;
    let mut findings = None;
    if !profile.targets.is_empty() {
        let mut journals = Journals::default();
        journals.collect_blocking(&profile.targets, true)?;
        findings = Some(journal::compare(&profile, &record, &journals));
    }
    let report = Report::new(&profile, &record, &[], options.slow_ms, findings);
    print(&report, options.json)?;
    Ok(report.clean())
}

fn run_bench(options: &BenchOptions) -> Result<bool> {
    let profile = Profile::read(&options.profile)?;
    let comparison = bench::compare(&profile, &options.direct, &options.pid)?;
    print(&comparison, options.json)?;
    Ok(comparison.direct.report.clean() && comparison.routed.report.clean())
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
