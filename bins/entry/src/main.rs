//! Entry instance: accepts requests of callers and coordinates groups of targets.

#![forbid(unsafe_code)]

mod admin;
mod control;
mod coordination;
mod message;
mod peers;
mod process;
mod signal;
mod storage;
mod target;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::CommandFactory;
use clap::Parser;
use clap_complete::Shell;
use log::LevelFilter;

use caraway_entry::declaration;
use caraway_entry::directory;
use caraway_entry::domain;
use caraway_entry::errors;
use caraway_entry::settings;
use caraway_entry::timer;
use caraway_telemetry::logger;

use crate::errors::Error;
use crate::errors::Result;
use crate::settings::Settings;

/// Exit code for invalid usage or settings, the same as clap's.
const USAGE_EXIT_CODE: u8 = 2;

/// An entry instance of carawayscale.
///
/// Accepts requests of callers, forwards each to the coordinator of the group that owns its key,
/// and coordinates groups itself. SIGTERM or SIGINT starts a planned stop, which hands over groups
/// and finishes requests in flight; a second signal ends the process at once.
///
/// Exit codes: 0 after a planned stop, 1 if the instance cannot run or was stopped by a second
/// signal, 2 for bad usage or settings.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// JSON file with the settings; flags override its fields.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    /// Print completions for a shell and exit.
    #[arg(long, value_name = "SHELL")]
    completions: Option<Shell>,
    /// Name of the instance.
    #[arg(long)]
    instance: Option<String>,
    /// Failure domain of the instance.
    #[arg(long)]
    failure_domain: Option<String>,
    /// Environment whose document is applied.
    #[arg(long)]
    environment: Option<String>,
    /// Stage of the document: production or trial.
    #[arg(long)]
    stage: Option<String>,
    /// Address for callers.
    #[arg(long)]
    client_address: Option<String>,
    /// Address for requests forwarded by other instances.
    #[arg(long)]
    peer_address: Option<String>,
    /// Address for control messages of other instances.
    #[arg(long)]
    control_address: Option<String>,
    /// Address for health checks, metrics and the operator's tool.
    #[arg(long)]
    admin_address: Option<String>,
    /// Base URL of the platform's store.
    #[arg(long)]
    store: Option<String>,
    /// Log format: text or json.
    #[arg(long)]
    log_format: Option<String>,
    /// Log level: error, warn, info, debug or trace.
    #[arg(long)]
    log_level: Option<String>,
    /// File to append log lines to instead of standard error.
    #[arg(long)]
    log_file: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = Options::parse();
    if let Some(shell) = options.completions {
        let mut command = Options::command();
        let name = command.get_name().to_owned();
        clap_complete::generate(shell, &mut command, name, &mut std::io::stdout());
        return ExitCode::SUCCESS;
    }
    match run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("caraway-entry: {error}");
            match error {
                Error::Settings(_) | Error::SettingsFile { .. } => ExitCode::from(USAGE_EXIT_CODE),
                Error::Listen { .. } | Error::Log(_) | Error::Start { .. } => ExitCode::FAILURE,
            }
        }
    }
}

fn run(options: Options) -> Result<()> {
    let check = options.check;
    let settings = merge_settings(options)?;
    let addresses = settings.try_check()?;
    if check {
        println!("settings are valid");
        return Ok(());
    }
    let json = settings.log.format == "json";
    let format = if json { logger::Format::Json } else { logger::Format::Text };
    let level = settings.log.level.parse().unwrap_or(LevelFilter::Info);
    let file = settings.log.file.clone();
    logger::install(&logger::Options { format, level, file })
        .map_err(|error| Error::Log(error.to_string()))?;
    process::run(&settings, addresses)
}

/// Reads the settings file and overrides its fields with the flags.
fn merge_settings(options: Options) -> Result<Settings> {
    let mut settings = match &options.settings {
        Some(path) => Settings::try_read(path)?,
        None => Settings { stage: "production".to_owned(), ..Settings::default() },
    };
    let fields = [
        (options.instance, &mut settings.instance),
        (options.failure_domain, &mut settings.failure_domain),
        (options.environment, &mut settings.environment),
        (options.stage, &mut settings.stage),
        (options.client_address, &mut settings.client_address),
        (options.peer_address, &mut settings.peer_address),
        (options.control_address, &mut settings.control_address),
        (options.admin_address, &mut settings.admin_address),
        (options.store, &mut settings.store),
        (options.log_format, &mut settings.log.format),
        (options.log_level, &mut settings.log.level),
    ];
    for (flag, field) in fields {
        if let Some(value) = flag {
            *field = value;
        }
    }
    settings.log.file = options.log_file.or(settings.log.file);
    Ok(settings)
}
