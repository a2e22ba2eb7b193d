//! Clients that do not read their responses.

use crate::crowd;
use crate::crowd::MEMORY_MB;
use crate::crowd::Watched;

/// Number of clients. Each takes a connection to the target as well.
const CROWD: usize = 100;

/// Guards against responses without an end that are held in memory for clients that read nothing.
#[yare::parameterized(
    by_close = { "/read/endless-close" },
    chunked = { "/read/endless-chunks" },
)]
fn unread_responses_stay_within_memory(path: &str) {
    let mut watched = Watched::start(MEMORY_MB, 1 << 20);
    let head = crowd::head("GET", path, "");
    let _crowd = crowd::send(watched.callers(), CROWD, &head, &[], 1 << 10);
    watched.check();
}
