//! Stand-in for a target.
//!
//! The target executes requests in a fixed number of slots. It refuses requests that the grant of its coordinator
//! does not cover. Its journal of executions lets tests verify which requests ran, when, and under which token.

#![forbid(unsafe_code)]

mod clock;
mod control;
mod errors;
mod execution;
mod fault;
mod grant;
mod journal;
mod load;
mod payload;
mod server;
mod settings;
mod slots;
mod token;
mod warmup;

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use clap::Parser;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tokio::runtime::Builder;
use tokio::sync::watch;

use crate::errors::Result;
use crate::server::Server;
use crate::settings::Settings;

fn main() -> ExitCode {
    let settings = Settings::parse();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("caraway-target: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let handle = signals.handle();
    let (stop, stop_requested) = watch::channel(());
    let signal_thread = thread::spawn(move || {
        if signals.forever().next().is_some() {
            stop.send_replace(());
        }
    });
    let result = Builder::new_current_thread().enable_all().build().map_err(Into::into).and_then(
        |runtime| {
            let server = Arc::new(Server::new(settings));
            runtime.block_on(server.serve(stop_requested))
        },
    );
    handle.close();
    // The thread panics only if signals cannot be read, and the process exits in any case.
    let _ = signal_thread.join();
    result
}
