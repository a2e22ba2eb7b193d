//! Crash probes of targets, and a check for crashes that follow a complete response.

use std::io;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use caraway_call::suspicion::Loss;
use caraway_call::suspicion::SETTLE_TIME;
use caraway_core::time::Clock;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Target;

use crate::http::Connection;
use crate::pool;
use crate::state::State;

/// Time after which a connection that was opened to check for a crash must still be open.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(50);

/// Idle time of the connections on which a completion may not be settled yet: each is checked once
/// or twice.
const RECENT: Duration = SETTLE_TIME.saturating_mul(2);

/// Returns what a failure to connect to a target says about it.
pub fn loss(error: &io::Error) -> Loss {
    match error.kind() {
        ErrorKind::ConnectionRefused => Loss::Ended,
        _ => Loss::Unreachable,
    }
}

/// Checks whether a target that broke off a response has crashed, by opening a connection. The
/// connection is pooled for the next request.
pub fn probe_target(state: &Rc<State>, target: &Target) {
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
            Err(error) => {
                probing.suspect_cold(&target);
                probing.record_loss(&target.incarnation, &target.service, loss(&error));
            }
        }
    });
}

/// Settles the completions of requests: a target that closes its connections right after a complete
/// response is probed, and any other completion clears its request. Runs until the process exits.
pub async fn settle_completions(state: Rc<State>) {
    loop {
        state.completed.notified().await;
        sleep(SETTLE_TIME).await;
        let now = Clock.now();
        let unsettled: Vec<Incarnation> = state.suspicions.borrow().unsettled().cloned().collect();
        for incarnation in unsettled {
            let target = state.registry.borrow().last_entry(&incarnation).cloned();
            let Some(target) = target else { continue };
            let closed = state.pool.remove_closed(target.address, now - RECENT);
            if closed && state.suspicions.borrow_mut().record_close(&incarnation, now) {
                probe_target(&state, &target);
            }
        }
        let settled = state.suspicions.borrow_mut().settle(now);
        state.clear(settled);
        if state.suspicions.borrow().unsettled().next().is_some() {
            state.completed.notify_one();
        }
    }
}
