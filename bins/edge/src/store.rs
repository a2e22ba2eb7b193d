//! Calls to the platform's store.

use std::time::Duration;

use bytes::BytesMut;

use caraway_adapter::store::Call;
use caraway_core::time::Clock;

use crate::http;
use crate::metrics::Metrics;
use crate::pool::Failure;
use crate::state::State;

/// Longest time for a call. The store answers in some milliseconds, in some hundred when it is
/// slow; a call without an answer may still be carried out. The coordinator waits for a write and for
/// the reading that follows a conflict, and renews no grant meanwhile: both fit into two thirds of one.
pub const CALL: Duration = Duration::from_millis(900);

/// Sends a call. `wait` is added to the time that the call may take.
///
/// # Errors
///
/// Fails if there is no answer.
pub async fn send(
    state: &State,
    call: &Call,
    kind: &str,
    wait: Duration,
) -> Result<(u16, BytesMut), Failure> {
    let address = state.settings.store_address;
    let request = http::request(call.method, &call.path, address, &call.body);
    let answer = state.pool.exchange(address, &request, CALL + wait).await;
    if answer.is_err() && kind != "watch" {
        // A watch that waits on a connection to a store that was lost would wait in vain.
        state.rewatch.notify_waiters();
    }
    let result = match &answer {
        Ok((head, _)) if head.status < 400 || head.status == 404 || head.status == 412 => {
            state.heard.set(Some(Clock.now()));
            "ok"
        }
        Ok(_) => "refused",
        Err(Failure::Unsent(_)) => "unsent",
        Err(Failure::Sent(_)) => "unanswered",
    };
    Metrics::count(&state.metrics.store, "call", &format!("{kind}_{result}"));
    answer.map(|(head, body)| (head.status, body))
}
