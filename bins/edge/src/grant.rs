//! Grant and release calls to targets.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;

use caraway_adapter::grant;
use caraway_adapter::header;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::coordinator;
use caraway_fleet::coordinator::Call;
use caraway_fleet::coordinator::Reply;
use caraway_fleet::proof::Witness;

use crate::http;
use crate::http::Connection;
use crate::pool::Bounds;
use crate::pool::CONNECT_TIMEOUT;
use crate::pool::Content;
use crate::pool::exchange_on;

/// Size limit of the head of a response to a grant. It has a few short fields.
const MAX_GRANT_HEAD_BYTES: usize = 8 << 10;

/// Size limit of the head of a response to a release, which contains the state to hand over.
const MAX_RELEASE_HEAD_BYTES: usize = 32 << 10;

/// Size limit of the body of a response to a grant or a release. The body is not used; an error
/// message fits.
const MAX_UNUSED_BYTES: usize = 16 << 10;

/// Bounds of the response to a grant.
const GRANT_BOUNDS: Bounds = Bounds {
    head_bytes: MAX_GRANT_HEAD_BYTES,
    content: Content::Skip(MAX_UNUSED_BYTES),
    time: coordinator::CALL_TIMEOUT,
    extension: Duration::ZERO,
};

/// Connection on which grants of a holding are sent. Each holding has its own: after a grant
/// without a response the connection is closed, which invalidates every fencing token that was sent
/// on it.
#[derive(Debug, Default)]
pub struct Channel(Option<Connection>);

/// Sends a grant. It is not sent after [`coordinator::SEND_TIMEOUT`], for which its duration was
/// computed: a process that was not scheduled for a while may have been replaced, and its successor
/// relies on the expiry of its grants.
pub async fn send_grant(
    channel: &Mutex<Channel>,
    call: &Call,
    address: SocketAddr,
    issued: Stamp,
) -> Reply {
    let mut channel = channel.lock().await;
    let mut connection = channel.0.take().filter(Connection::is_reusable);
    if connection.is_none() {
        if call.connection.is_some() {
            return Reply::ConnectionGone;
        }
        let opened = Connection::open(address, CONNECT_TIMEOUT).await.ok();
        // Bytes that arrive before the first request are no response to it.
        connection = opened.filter(Connection::is_reusable);
    }
    let Some(mut connection) = connection else { return Reply::Unsent };
    if Clock.now() > issued + coordinator::SEND_TIMEOUT {
        channel.0 = Some(connection);
        return Reply::Unsent;
    }
    let (path, body) = grant::request(call);
    let request = http::request("POST", path, address, &body);
    match exchange_on(&mut connection, &request, &GRANT_BOUNDS).await {
        Ok((head, _)) => {
            // Marking the connection as idle would discard surplus bytes that were read already.
            if connection.is_reusable() {
                connection.set_idle(Clock.now());
                channel.0 = Some(connection);
            }
            grant::reply(head.status, None)
        }
        Err(_) => Reply::Unknown,
    }
}

/// Sends a release to the address `own` of the incarnation. The target responds within `limit`, when its requests for
/// the keys have completed. Returns the reply and the address from which it came.
///
/// If nothing accepts connections there, or the address is not known, the release is sent to `successor`, a later
/// incarnation elsewhere, which may hold grants that were meant for the earlier one.
///
/// The connection is new and closed afterwards: on one that has carried another request, a late copy
/// of the response to that would be taken for the confirmation, and the keys would have two owners.
pub async fn send_release(
    call: &Call,
    own: Option<SocketAddr>,
    successor: Option<SocketAddr>,
    limit: Duration,
) -> (Reply, Option<SocketAddr>) {
    let Some(mut address) = own.or(successor) else { return (Reply::Unsent, None) };
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await;
    let refused = matches!(&connection, Err(e) if e.kind() == ErrorKind::ConnectionRefused);
    if let Some(successor) = successor.filter(|_| own.is_some() && refused) {
        address = successor;
        connection = Connection::open(address, CONNECT_TIMEOUT).await;
    }
    let Some(mut connection) = connection.ok().filter(Connection::is_reusable) else {
        return (Reply::Unsent, None);
    };
    let (path, body) = grant::request(call);
    let request = http::request("POST", path, address, &body);
    let bounds = Bounds {
        head_bytes: MAX_RELEASE_HEAD_BYTES,
        content: Content::Skip(MAX_UNUSED_BYTES),
        time: limit,
        extension: Duration::ZERO,
    };
    let reply = match exchange_on(&mut connection, &request, &bounds).await {
        Ok((head, _)) => {
            let handover = head.headers.get(header::HANDOVER);
            let handover = handover.and_then(|value| value.to_str().ok()).map(Arc::from);
            grant::reply(head.status, handover)
        }
        Err(_) => Reply::Unknown,
    };
    (reply, Some(address))
}

/// Asks a process for its id, on a new connection, and returns whether it is the one of the witness.
pub async fn confirm(witness: &Witness, health_path: Option<&str>) -> bool {
    let Some(path) = health_path else { return false };
    let opened = Connection::open(witness.address, CONNECT_TIMEOUT).await.ok();
    let Some(mut connection) = opened.filter(Connection::is_reusable) else { return false };
    let request = http::request("GET", path, witness.address, "");
    let response = exchange_on(&mut connection, &request, &GRANT_BOUNDS).await;
    let Ok((head, _)) = response else { return false };
    let stated = head.headers.get(header::TARGET).and_then(|value| value.to_str().ok());
    witness.is_confirmed_by(stated)
}
