//! Crash probes of targets.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use caraway_fleet::membership::Target;

use crate::http::Connection;
use crate::pool;
use crate::state::State;

/// Time after which a connection that was opened to check for a crash must still be open.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(50);

/// Checks whether a target that broke off a response has crashed, by opening a connection. The
/// connection is pooled for the next request.
pub(super) fn probe_target(state: &Rc<State>, target: &Target) {
    let (probing, target) = (state.clone(), target.clone());
    state.crash_probes.borrow_mut().spawn_local(async move {
        let mut opened = Connection::open(target.address, pool::CONNECT_TIMEOUT).await;
        if opened.is_ok() {
            // A process that is ending may accept a connection and reset it a moment later.
            sleep(PROBE_SETTLE_TIME).await;
            if opened.as_ref().is_ok_and(|connection| !connection.is_reusable()) {
                opened = Connection::open(target.address, pool::CONNECT_TIMEOUT).await;
            }
        }
        match opened {
            Ok(connection) => probing.keep_connection(&target, connection),
            Err(_) => {
                probing.suspect_cold(&target);
                probing.record_crash(&target.incarnation, &target.service);
            }
        }
    });
}
