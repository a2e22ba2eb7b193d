//! Calls to targets about keys.

use std::cell::Cell;
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

/// The connection on which a life of a target gets its grants.
#[derive(Debug, Default)]
pub struct Line {
    /// Number of the connection, never used for another.
    number: u64,
    connection: Option<Connection>,
}

/// Sends a grant. It is not sent later than its length was computed for: a process that had no
/// processor time for a while may have been replaced, and its successor counts on the end of its
/// grants.
pub async fn ask_grant(
    line: &Mutex<Line>,
    numbers: &Cell<u64>,
    call: &Call,
    address: SocketAddr,
    issued: Stamp,
) -> (Reply, Option<u64>) {
    let mut line = line.lock().await;
    let mut connection = line.connection.take().filter(Connection::reusable);
    let same = connection.is_some() && call.line == Some(line.number);
    if call.line.is_some() && !same {
        line.connection = connection;
        return (Reply::Severed, None);
    }
    if connection.is_none() {
        let Ok(opened) = Connection::open(address, OPEN).await else {
            return (Reply::Unsent, None);
        };
        numbers.set(numbers.get() + 1);
        line.number = numbers.get();
        connection = Some(opened);
    }
    if Clock.now() > issued + coordinator::SENDING {
        line.connection = connection;
        return (Reply::Unsent, None);
    }
    let Some(mut connection) = connection else { return (Reply::Unsent, None) };
    let (path, body) = grant::request(call);
    let request = http::request("POST", path, address, &body);
    match whole(&mut connection, &request, coordinator::CALL).await {
        Ok((head, _)) => {
            line.connection = Some(connection);
            (grant::reply(head.status, None), Some(line.number))
        }
        Err(_) => (Reply::Unknown, Some(line.number)),
    }
}

/// Sends a release. It is answered when the work on the keys has ended.
pub async fn ask_release(state: &State, call: &Call, address: SocketAddr) -> Reply {
    let (path, body) = grant::request(call);
    let request = http::request("POST", path, address, &body);
    match state.pool.exchange(address, &request, state.settings.hold_limit).await {
        Ok((head, _)) => {
            let handover = head.headers.get(header::HANDOVER);
            let handover = handover.and_then(|value| value.to_str().ok()).map(Arc::from);
            grant::reply(head.status, handover)
        }
        Err(Failure::Unsent(_)) => Reply::Unsent,
        Err(Failure::Sent(_)) => Reply::Unknown,
    }
}
