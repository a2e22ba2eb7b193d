//! Listeners for callers, readiness checks, other instances and metrics.

pub mod body;
mod chunk;
mod connection;
mod head;
mod reader;
mod service;
mod slots;
mod writer;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::sync::watch::Receiver;
use tokio::task::JoinSet;
use tokio::time::sleep;

use caraway_fleet::reports::Reports;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::ingress::service::Service;
use crate::ingress::slots::Slots;
use crate::state::State;

/// Length of the accept queue, in connections.
const BACKLOG: i32 = 512;

/// Time after which a connection whose caller stops acknowledging data is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Opens a listener.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Returns the number of open connections of callers.
pub fn open_connections(state: &State) -> u64 {
    let labels = [("listener", Service::Callers.name().to_owned())];
    u64::try_from(state.metrics.connections.get_or_create(&labels).get()).unwrap_or(0)
}

/// Serves callers until `closing` is true, then closes the listener and returns when all connections have
/// closed.
pub async fn callers(state: Rc<State>, listener: TcpListener, closing: Receiver<bool>) {
    accept(state, Service::Callers, listener, closing).await;
}

/// Serves the platform's readiness checks.
pub async fn readiness(state: Rc<State>, listener: TcpListener) {
    let (_open, closing) = watch::channel(false);
    accept(state, Service::Readiness, listener, closing).await;
}

/// Serves the metrics in the text format.
pub async fn metrics(state: Rc<State>, listener: TcpListener) {
    let (_open, closing) = watch::channel(false);
    accept(state, Service::Metrics, listener, closing).await;
}

/// Serves messages from other instances.
pub async fn instances(state: Rc<State>, reports: Rc<RefCell<Reports>>, listener: TcpListener) {
    let (_open, closing) = watch::channel(false);
    accept(state, Service::Instances(reports), listener, closing).await;
}

async fn accept(
    state: Rc<State>,
    service: Service,
    listener: TcpListener,
    closing: Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let mut stop = closing.clone();
    let slots = Slots::new(service.max_connections(&state));
    let open =
        state.metrics.connections.get_or_create(&[("listener", service.name().to_owned())]).clone();
    loop {
        open.set(i64::try_from(slots.len()).unwrap_or(i64::MAX));
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, address)) => {
                    if let Err(error) = prepare(&stream) {
                        let (address, problem) = (address.to_string(), error.to_string());
                        emit(Event::CallerInvalid { address, problem });
                        continue;
                    }
                    if slots.is_full() && !slots.evict().await {
                        let reason = "all places are taken by requests in flight";
                        connection::record_closed(&state, &service, address.ip(), reason);
                        continue;
                    }
                    let (state, service) = (state.clone(), service.clone());
                    let (slot, address) = (slots.take(), address.ip());
                    let closing = closing.clone();
                    let serving =
                        connection::serve(state, service, slot, stream, address, closing);
                    connections.spawn_local(serving);
                }
                Err(error) => {
                    // Most likely out of file descriptors; closing connections frees some.
                    let address = listener.local_addr().map_or(String::new(), |a| a.to_string());
                    emit(Event::ListenerFailed { address, error: error.to_string() });
                    slots.evict().await;
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            // The sender is never dropped before the process exits; an error would also mean shutdown.
            _ = stop.wait_for(|closing| *closing) => break,
        }
    }
    // Later connection attempts are refused or reset, so that callers switch to another instance at
    // once instead of sending a request that this instance has no time to answer.
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Sets the options of an accepted connection: no send delay, and detection of lost peers.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = Duration::from_secs(2);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(keepalive).with_interval(keepalive))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
