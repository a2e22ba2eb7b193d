//! Command-line settings.

use std::net::SocketAddr;

use clap::Parser;

/// Stand-in for a target.
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
    /// Number of execution slots, the maximum number of concurrently running requests.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub slots: u32,
    /// Maximum number of open connections; further connections are closed immediately.
    #[arg(long, default_value_t = 230)]
    pub connections: usize,
    /// Service time of a request in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub service_ms: u32,
    /// Duration of the warm-up in milliseconds, during which the target is slower and has fewer slots.
    #[arg(long, default_value_t = 0)]
    pub warmup_ms: u32,
    /// Refuses requests without a valid token.
    #[arg(long, default_value_t = true, action = clap::ArgAction::Set)]
    pub check_token: bool,
}
