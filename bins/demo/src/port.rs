//! Reservation of port ranges on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use crate::errors::Error;
use crate::errors::Result;

/// Lowest base port.
const FIRST_BASE: u16 = 22_000;
/// End of the base ports. It is below the ephemeral ports of Linux, which start at 32,768 and which
/// outgoing connections may take at any time.
const END_BASE: u16 = 32_000;
/// Distance between base ports.
const STRIDE: u16 = 100;

/// A range of ports that no other environment on this host uses.
///
/// The first port is bound for the lifetime of the value. Other environments skip a range whose first
/// port is bound.
#[derive(Debug)]
pub struct Range {
    base: u16,
    _reservation: TcpListener,
}

impl Range {
    /// Reserves `count` ports, starting at `base` if given.
    ///
    /// # Errors
    ///
    /// The ports starting at `base` are in use, or no range is free.
    pub fn reserve(base: Option<u16>, count: u16) -> Result<Self> {
        if let Some(base) = base {
            return try_reserve(base, count).ok_or(Error::Ports(count));
        }
        // Starts the search at an offset that depends on the process ID, to avoid that several processes
        // compete for the same range.
        let slots = (END_BASE - FIRST_BASE) / STRIDE;
        let offset = u16::try_from(std::process::id() % u32::from(slots)).unwrap_or(0);
        (0..slots)
            .map(|slot| FIRST_BASE + (offset + slot) % slots * STRIDE)
            .find_map(|base| try_reserve(base, count))
            .ok_or(Error::Ports(count))
    }

    /// Returns the address of the port at `index`. The port at index 0 is bound by the reservation.
    pub fn address(&self, index: u16) -> SocketAddr {
        loopback(self.base.saturating_add(index))
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Binds the first port of a range and checks that the other ports are free.
fn try_reserve(base: u16, count: u16) -> Option<Range> {
    let end = base.checked_add(count)?;
    let reservation = TcpListener::bind(loopback(base)).ok()?;
    let free = (base + 1..end).all(|port| TcpListener::bind(loopback(port)).is_ok());
    free.then_some(Range { base, _reservation: reservation })
}
