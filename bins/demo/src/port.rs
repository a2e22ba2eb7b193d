//! Free port ranges on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use crate::errors::Error;
use crate::errors::Result;

/// First base port that is tried. The range ends below the ephemeral ports of Linux (32,768), which
/// outgoing connections may take at any time.
const FIRST_BASE: u16 = 22_000;
/// End of the range.
const END: u16 = 32_000;
/// Distance between the base ports that are tried.
const STRIDE: u16 = 100;

/// A range of ports that other environments of this machine leave alone.
///
/// The first port stays bound as long as the value lives. An environment that finds it bound takes
/// another range.
#[derive(Debug)]
pub struct Range {
    base: u16,
    _reservation: TcpListener,
}

impl Range {
    /// Reserves `count` ports, starting at `base` if it is given.
    ///
    /// # Errors
    ///
    /// The ports from `base` on are in use, or no range is free.
    pub fn reserve(base: Option<u16>, count: u16) -> Result<Self> {
        if let Some(base) = base {
            return try_reserve(base, count).ok_or(Error::Ports(count));
        }
        // Processes start at different places, so that they rarely compete for a range.
        let slots = (END - FIRST_BASE) / STRIDE;
        let offset = u16::try_from(std::process::id() % u32::from(slots)).unwrap_or(0);
        (0..slots)
            .map(|slot| FIRST_BASE + (offset + slot) % slots * STRIDE)
            .find_map(|base| try_reserve(base, count))
            .ok_or(Error::Ports(count))
    }

    /// Returns the address of port `index` of the range. Index 0 is the reserved port itself.
    pub fn address(&self, index: u16) -> SocketAddr {
        loopback(self.base.saturating_add(index))
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Binds the first port of each stride and checks that the others are free.
fn try_reserve(base: u16, count: u16) -> Option<Range> {
    let end = base.checked_add(count)?;
    let reservation = TcpListener::bind(loopback(base)).ok()?;
    let free = (base + 1..end).all(|port| TcpListener::bind(loopback(port)).is_ok());
    free.then_some(Range { base, _reservation: reservation })
}
