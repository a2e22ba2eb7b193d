//! Stand-in of the platform's store and instance list.
//!
//! The process keeps everything in memory and serves HTTP/1.1 with JSON bodies. Its fault controls
//! reproduce outages, slow calls, lost answers and cut failure domains.

#![forbid(unsafe_code)]

mod call;
mod counts;
mod errors;
mod fault;
mod list;
mod server;
mod store;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tokio::runtime::Builder;
use tokio::sync::watch;

use crate::errors::Result;

/// Threads of the server. A waiting call occupies none of them.
const THREADS: usize = 4;

/// Stand-in of the platform's store and instance list.
#[derive(Debug, Parser)]
#[command(version)]
struct Flags {
    /// Address to listen on, as ip:port.
    #[arg(long)]
    address: SocketAddr,
}

fn main() -> ExitCode {
    let flags = Flags::parse();
    match run(flags.address) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("caraway-platform: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(address: SocketAddr) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let runtime = Builder::new_multi_thread().worker_threads(THREADS).enable_all().build()?;
    let listener = runtime.block_on(server::listen(address))?;
    eprintln!("caraway-platform: listening on {address}");
    let (stop, stopped) = watch::channel(());
    let task = runtime.spawn(server::serve(listener, stopped));
    signals.forever().next();
    stop.send_replace(());
    // The task only ends early by a panic, which has been printed.
    let _ = runtime.block_on(task);
    // Dropping the runtime joins its threads.
    drop(runtime);
    eprintln!("caraway-platform: stopped");
    Ok(())
}
