//! Targets whose responses do not end, beside ordinary callers.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::crowd;
use crate::crowd::MEMORY_MB;
use crate::crowd::Watched;

/// Descriptors of the machine, so that many requests are in flight.
const MAX_DESCRIPTORS: usize = 8192;

/// Number of targets. An instance has at most twelve requests in flight at each.
const TARGETS: usize = 110;

/// Number of callers, each with [`AHEAD`] requests in flight.
const CALLERS: usize = 80;
const AHEAD: usize = 16;

/// Guards against response heads and bodies that are kept beside the memory budget: a process with many requests at
/// targets in trouble ran out of memory, which ended the requests of all other callers.
#[yare::parameterized(
    heads = { "endless-head" },
    bodies = { "endless-body" },
)]
fn responses_without_an_end_stay_within_the_memory(shape: &str) {
    let mut watched = Watched::start_on(MEMORY_MB, MAX_DESCRIPTORS, 1 << 20, "");
    for index in 1..TARGETS {
        watched.cluster.add_target(&format!("p{index}"), "pool", false);
    }
    thread::sleep(Duration::from_secs(1));
    let text = crowd::head("GET", &format!("/read/{shape}"), "");
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut stream = TcpStream::connect(watched.callers()).unwrap();
        stream.write_all(text.repeat(AHEAD).as_bytes()).unwrap();
        callers.push(stream);
    }
    thread::sleep(Duration::from_secs(4));
    println!("{} requests at targets", watched.cluster.journal.runs().len());
    // The requests of the crowd are still in flight, and the ordinary caller has the same address.
    watched.check();
}
