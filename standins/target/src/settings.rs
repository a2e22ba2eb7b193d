//! Command line flags.

use std::net::SocketAddr;

use clap::Parser;

/// Stand-in of a target.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub struct Settings {
    /// Name of the target.
    #[arg(long)]
    pub name: String,
    /// Service of the target.
    #[arg(long)]
    pub service: String,
    /// Address to listen on, as ip:port.
    #[arg(long)]
    pub address: SocketAddr,
    /// Number of requests that run at the same time.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub slots: u32,
    /// Number of open connections; further connections are closed at once.
    #[arg(long, default_value_t = 230)]
    pub connections: usize,
    /// Time that a request runs, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub service_ms: u32,
    /// Time after the start in which the target is slower and has fewer slots, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub warmup_ms: u32,
    /// Whether requests without a valid token are refused.
    #[arg(long, default_value_t = true, action = clap::ArgAction::Set)]
    pub check_token: bool,
}
