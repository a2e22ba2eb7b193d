//! Calls to the platform's store.

use std::io;
use std::time::Duration;

use bytes::BytesMut;

use caraway_adapter::header;
use caraway_adapter::store::Call;
use caraway_fleet::era::Latest;
use caraway_fleet::era::Observation;

use crate::http;
use crate::http::Head;
use crate::metrics::Metrics;
use crate::pool::Bounds;
use crate::pool::Failure;
use crate::state::State;

/// Timeout of a call. The store responds within milliseconds, or a few hundred when it is slow; a call that
/// times out may still be executed. While the coordinator waits for a write and the read that follows a
/// conflict, it renews no grants: both fit into two thirds of a grant.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Additional time for a page that keeps arriving: one with values of a megabyte takes seconds on a
/// slow link.
const PAGE_TIME: Duration = Duration::from_secs(5);

/// Size limit of a page of entries or changes: it contains several values, each of up to a megabyte,
/// in base64.
const MAX_PAGE_BYTES: usize = 16 << 20;

/// Size limit of a single entry: a value of up to a megabyte, in base64, and its fields.
const MAX_ENTRY_BYTES: usize = 2 << 20;

/// Size limit of a response without entries.
const MAX_RESULT_BYTES: usize = 256 << 10;

/// Sends a call. `wait` extends [`CALL_TIMEOUT`] by the time for which a watch waits for changes.
///
/// # Errors
///
/// Fails if there is no response.
pub async fn send(
    state: &State,
    call: &Call,
    kind: &str,
    wait: Duration,
) -> Result<(u16, BytesMut), Failure> {
    let address = state.settings.store_address;
    let request = http::request(call.method, &call.path, address, &call.body);
    let limit = CALL_TIMEOUT + wait;
    let (extension, body_bytes) = match kind {
        "range" | "watch" => (PAGE_TIME, MAX_PAGE_BYTES),
        "key" => (Duration::ZERO, MAX_ENTRY_BYTES),
        _ => (Duration::ZERO, MAX_RESULT_BYTES),
    };
    let bounds = Bounds::store(limit, extension, body_bytes);
    let sent_in = state.latest_era.get();
    let response = state.pool.exchange(address, &request, &bounds).await;
    if let Ok((head, _)) = &response
        && let Err(error) = check_era(state, sent_in, head)
    {
        Metrics::count(&state.metrics.store_calls, "call", &format!("{kind}_era"));
        return Err(error);
    }
    if response.is_err() && kind != "watch" {
        // The pending watch may be waiting on a dead connection as well; it is restarted on a new one.
        state.watch_restart.notify_waiters();
    }
    let result = match &response {
        Ok((head, _)) if head.status < 400 || head.status == 404 || head.status == 412 => {
            state.record_store_response();
            "ok"
        }
        // The store has compacted its history; it is available.
        Ok((head, _)) if head.status == 410 => "compacted",
        Ok(_) => "refused",
        Err(Failure::Unsent(_)) => "unsent",
        Err(Failure::Sent(_)) => "unanswered",
    };
    if matches!(result, "refused" | "unsent" | "unanswered") {
        state.record_store_failure();
    }
    Metrics::count(&state.metrics.store_calls, "call", &format!("{kind}_{result}"));
    response.map(|(head, body)| (head.status, body))
}

/// Checks the era of a response. The call of an earlier era counts as unanswered: its conditions and
/// leases, or its result, refer to revisions that were assigned again.
fn check_era(state: &State, sent_in: Latest, head: &Head) -> Result<(), Failure> {
    let failure = |error: &str| Failure::Sent(io::Error::other(error.to_owned()));
    let value = head.headers.get(header::STORE_ERA).map(|value| value.to_str().unwrap_or(""));
    let Some(era) = header::parse_store_era(value) else {
        return Err(failure("the store stated an invalid era"));
    };
    match state.observe_era(era, "store") {
        Observation::Outdated => Err(failure("the response is of an earlier era of the store")),
        Observation::Risen => Err(failure("the store was restored under a new era")),
        Observation::Current if sent_in.is_known() && sent_in.era() != era => {
            Err(failure("the store was restored during the call"))
        }
        Observation::Current => Ok(()),
    }
}
