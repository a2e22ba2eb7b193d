//! Stand-in for the platform's store and instance list.
//!
//! The process keeps its state in memory and serves HTTP/1.1 with JSON bodies. Its fault injection
//! simulates outages, slow calls, lost responses and failure domains without a connection to the platform.

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

/// Worker threads of the server. Waiting calls do not occupy a thread.
const WORKER_THREADS: usize = 4;

/// Stand-in for the platform's store and instance list.
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
    let runtime =
        Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build()?;
    let listener = runtime.block_on(server::listen(address))?;
    eprintln!("caraway-platform: listening on {address}");
    let (stop, stop_requested) = watch::channel(());
    let server_task = runtime.spawn(server::serve(listener, stop_requested));
    signals.forever().next();
    stop.send_replace(());
    // The task fails only if it panicked, which has already been printed.
    let _ = runtime.block_on(server_task);
    // Dropping the runtime waits for its threads.
    drop(runtime);
    eprintln!("caraway-platform: stopped");
    Ok(())
}
