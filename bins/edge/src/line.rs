//! Calls to targets about keys.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Mutex;

use caraway_adapter::grant;
use caraway_adapter::header;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::coordinator;
use caraway_fleet::coordinator::Call;
use caraway_fleet::coordinator::Reply;

use crate::http;
use crate::http::Connection;
use crate::pool::Failure;
use crate::pool::OPEN;
use crate::pool::whole;
use crate::state::State;

/// The connection on which the tokens of a holding are sent. Each holding has its own: a grant without
/// an answer costs a connection, and every token that was sent on it.
#[derive(Debug, Default)]
pub struct Line(Option<Connection>);

/// Sends a grant. It is not sent later than its length was computed for: a process that had no
/// processor time for a while may have been replaced, and its successor counts on the end of its
/// grants.
pub async fn ask_grant(
    line: &Mutex<Line>,
    call: &Call,
    address: SocketAddr,
    issued: Stamp,
) -> Reply {
    let mut line = line.lock().await;
    let mut connection = line.0.take().filter(Connection::reusable);
    if connection.is_none() {
        if call.connection.is_some() {
            return Reply::ConnectionGone;
        }
        connection = Connection::open(address, OPEN).await.ok();
    }
    let Some(mut connection) = connection else { return Reply::Unsent };
    if Clock.now() > issued + coordinator::SEND_TIMEOUT {
        line.0 = Some(connection);
        return Reply::Unsent;
    }
    let (path, body) = grant::request(call);
    let request = http::request("POST", path, address, &body);
    match whole(&mut connection, &request, coordinator::CALL_TIMEOUT).await {
        Ok((head, _)) => {
            connection.rest(Clock.now());
            line.0 = Some(connection);
            grant::reply(head.status, None)
        }
        Err(_) => Reply::Unknown,
    }
}

/// Sends a release. It is answered when the work on the keys has ended.
pub async fn ask_release(state: &State, call: &Call, address: SocketAddr) -> Reply {
    let (path, body) = grant::request(call);
    let request = http::request("POST", path, address, &body);
    match state.pool.exchange(address, &request, state.settings.max_grant_duration).await {
        Ok((head, _)) => {
            let handover = head.headers.get(header::HANDOVER);
            let handover = handover.and_then(|value| value.to_str().ok()).map(Arc::from);
            grant::reply(head.status, handover)
        }
        Err(Failure::Unsent(_)) => Reply::Unsent,
        Err(Failure::Sent(_)) => Reply::Unknown,
    }
}
