//! The loop of a client's connection: requests are read ahead, run at the same time and answered in order.
//!
//! One task reads and writes. Each request runs in a task of its own, which is aborted when the client
//! disconnects. Requests that may not be repeated run alone: a client that sends one and closes the connection
//! before the responses to earlier requests could not know whether it has run. Nothing runs behind a request whose
//! response may be streamed: if that breaks off, the connection closes without the responses behind it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch::Receiver;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::ingress::head::Problem;
use crate::ingress::reader::Reader;
use crate::ingress::reader::Stop;
use crate::ingress::service::Service;
use crate::ingress::slots::Slot;
use crate::ingress::writer::Break;
use crate::ingress::writer::Form;
use crate::ingress::writer::Writer;
use crate::metrics::Metrics;
use crate::reason::Reason;
use crate::response;
use crate::response::Body;
use crate::state::State;

/// Most requests of one connection that are in flight, unless a setting says otherwise. It bounds what one
/// connection can take of the targets; what is sent beyond waits in the socket.
const READ_AHEAD: usize = 16;

/// Least time for which the rest of what a client sends is read and discarded before the connection is closed. Closing
/// at once would reset the connection, and the client might not get its last response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Most bytes that are discarded in this way.
const LINGER_BYTES: usize = 1 << 20;

/// Interval of checks for timeouts while a request is being received or is in flight.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A response that is being made, which stops when this is dropped.
#[derive(Debug)]
pub struct Running(JoinHandle<Response<Body>>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request whose response is due.
#[derive(Debug)]
struct Entry {
    running: Running,
    form: Form,
}

/// How the responses of a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Last {
    /// The last response has been written.
    Complete,
    /// A response broke off. What was written of it does not look complete.
    BrokenOff,
    /// The client is gone, or what it has got of a response without a length must not look complete.
    Reset,
}

/// State that the reading and the writing side of a connection share.
#[derive(Debug)]
pub struct Link {
    /// State of the process.
    pub state: Rc<State>,
    /// What is served on the connection.
    pub service: Service,
    /// Place of the connection among those of its listener.
    slot: Slot,
    /// The connection.
    pub stream: TcpStream,
    /// Address of the client.
    pub caller: IpAddr,
    queue: RefCell<VecDeque<Entry>>,
    /// Whether a response is being awaited or written.
    responding: Cell<bool>,
    /// Whether a response closes the connection, so that no further request runs.
    closing: Cell<bool>,
    /// Whether no further request is read.
    finished: Cell<bool>,
    /// Whether the listener has closed, so that an idle connection closes as well.
    draining: Cell<bool>,
    changed: Notify,
    /// Time at which bytes last arrived.
    pub last_read: Cell<Instant>,
    /// Time at which a response last ended, if there was one.
    last_response: Cell<Option<Instant>>,
    /// Time at which the first bytes of an incomplete head arrived.
    pub head_started: Cell<Option<Instant>>,
    /// Whether a body is being received, which has the deadline of its request.
    pub receiving_body: Cell<bool>,
    unread_since: Cell<Option<Instant>>,
}

impl Link {
    /// Returns whether all requests that were read have been answered.
    pub fn is_idle(&self) -> bool {
        self.queue.borrow().is_empty() && !self.responding.get()
    }

    /// Returns whether no further request may run.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns whether an idle connection is to be closed.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns when the state of the connection may have changed.
    pub async fn wait_changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until another request may be read ahead, or no further request may run.
    pub async fn wait_for_place(&self) {
        loop {
            let changed = self.changed.notified();
            let count = self.queue.borrow().len() + usize::from(self.responding.get());
            if count < self.state.settings.ingress.read_ahead.unwrap_or(READ_AHEAD)
                || self.closing.get()
            {
                return;
            }
            self.state.metrics.read_ahead_reached.inc();
            changed.await;
        }
    }

    /// Waits until all requests that were read have been answered, or no further request may run.
    pub async fn wait_idle(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_idle() || self.closing.get() {
                return;
            }
            changed.await;
        }
    }

    /// Adds a request that runs, unless a response has closed the connection in the meantime.
    pub fn push(&self, response: impl Future<Output = Response<Body>> + 'static, form: Form) {
        if self.closing.get() {
            return;
        }
        let running = Running(tokio::task::spawn_local(response));
        self.slot.set_busy(true);
        self.queue.borrow_mut().push_back(Entry { running, form });
        self.changed.notify_waiters();
    }

    /// Adds the response to a request that is refused because its head or body is invalid.
    pub fn refuse(&self, problem: Problem) {
        let form = Form { head_only: false, http_1_0: false, close: true };
        let mut response = response::plain(problem.status, problem.text);
        if problem.status == StatusCode::SERVICE_UNAVAILABLE {
            response::set_retry_after(&mut response, Reason::MemoryShort.retry_after());
        }
        self.push(std::future::ready(response), form);
    }

    /// Writes an interim response with which a client begins to send its body. All earlier requests must have
    /// been answered.
    pub async fn send_continue(&self) -> std::io::Result<()> {
        let mut writer = Writer::new(&self.stream, &self.unread_since);
        writer.write([b"HTTP/1.1 100 Continue\r\n\r\n", b"", b""]).await
    }

    /// Writes the responses in order, until the last one has been written, the client is gone or a response broke off.
    async fn respond(&self) -> Last {
        loop {
            let changed = self.changed.notified();
            let next = self.queue.borrow_mut().pop_front();
            let Some(mut entry) = next else {
                if self.finished.get() {
                    return Last::Complete;
                }
                changed.await;
                continue;
            };
            self.responding.set(true);
            let Ok(mut response) = (&mut entry.running.0).await else { return Last::Reset };
            if matches!(response.body(), Body::Right(body) if body.is_late()) {
                // It waited for the responses before it. Breaking it off would close the connection without those
                // behind it.
                let status = StatusCode::GATEWAY_TIMEOUT;
                response = response::plain(status, Reason::TimedOut.as_str());
            }
            // The last response of a stopping process closes the connection. Requests that run already are
            // answered first.
            if self.state.shutdown.is_stopping() && self.queue.borrow().is_empty() {
                entry.form.close = true;
            }
            self.closing.set(self.closing.get() || entry.form.close);
            let mut writer = Writer::new(&self.stream, &self.unread_since);
            match writer.respond(response, entry.form).await {
                Ok(()) => {}
                Err(Break::Body) => {
                    self.last_response.set(Some(Instant::now()));
                    self.slot.set_busy(false);
                    return Last::BrokenOff;
                }
                Err(Break::Client | Break::Unframed) => return Last::Reset,
            }
            self.responding.set(false);
            self.last_response.set(Some(Instant::now()));
            self.slot.set_busy(!self.is_idle());
            self.changed.notify_waiters();
            if entry.form.close {
                return Last::Complete;
            }
        }
    }

    /// Returns the time that a client has to read a response.
    fn read_timeout(&self) -> Duration {
        let (_, idle_timeout) = self.service.timeouts(&self.state);
        self.state.settings.ingress.read_timeout.unwrap_or(idle_timeout)
    }

    /// Returns the next time at which the timeouts are to be checked, or `None` if one has expired.
    fn check_timeouts(&self) -> Option<Instant> {
        let (head_timeout, idle_timeout) = self.service.timeouts(&self.state);
        let now = Instant::now();
        if self.unread_since.get().is_some_and(|since| now - since > self.read_timeout()) {
            self.record_closed("unread response");
            return None;
        }
        if let Some(since) = self.head_started.get() {
            // Requests in flight are answered first.
            let late = now - since > head_timeout && self.is_idle();
            if late {
                self.record_closed("late head");
            }
            return (!late).then_some(now + CHECK_INTERVAL);
        }
        if !self.is_idle() || self.receiving_body.get() {
            return Some(now + CHECK_INTERVAL);
        }
        let last_read = self.last_read.get();
        let active = self.last_response.get().map_or(last_read, |last| last.max(last_read));
        let end = active + idle_timeout;
        // A head may begin while the connection sleeps until its idle timeout.
        (now < end).then(|| end.min(now + head_timeout).max(now + CHECK_INTERVAL))
    }

    /// Makes closing the connection discard what its client has not read, so that a truncated response never
    /// looks complete.
    fn reset(&self) {
        // Fails only if the socket is already closed.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    fn record_closed(&self, reason: &str) {
        record_closed(&self.state, &self.service, self.caller, reason);
    }

    /// Returns when the client has closed its side, even if bytes that it sent have not been read.
    async fn gone(&self) {
        // The operating system reports the end of a stream with any interest except that in writing.
        while let Ok(ready) = self.stream.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
            // Waits for the next event if this one was another.
            let again = || Err::<(), _>(std::io::ErrorKind::WouldBlock.into());
            let _ = self.stream.try_io(Interest::PRIORITY, again);
        }
    }

    /// Ends the sending side and discards what the client still sends, until it closes the connection. The sockets may
    /// hold responses that the client has not read; what it sends to a closed connection would reset that and discard
    /// them.
    async fn linger(&self) {
        if SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        let discard = async {
            let mut space = [0; 4096];
            let mut discarded = 0;
            while discarded < LINGER_BYTES && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut space) {
                    Ok(0) => return,
                    Ok(size) => discarded += size,
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        let read_end = self.last_response.get().map(|last| last + self.read_timeout());
        let least = Instant::now() + LINGER_TIME;
        // The client had its time to read the response.
        let _ = timeout_at(read_end.map_or(least, |end| end.max(least)), discard).await;
    }
}

/// Serves a connection until it closes. After `closing` is true, it closes as soon as it is idle.
pub async fn serve(
    state: Rc<State>,
    service: Service,
    slot: Slot,
    stream: TcpStream,
    caller: IpAddr,
    mut closing: Receiver<bool>,
) {
    let now = Instant::now();
    let link = Link {
        state,
        service,
        slot,
        stream,
        caller,
        queue: RefCell::default(),
        responding: Cell::new(false),
        closing: Cell::new(false),
        finished: Cell::new(false),
        draining: Cell::new(false),
        changed: Notify::new(),
        last_read: Cell::new(now),
        last_response: Cell::new(None),
        head_started: Cell::new(None),
        receiving_body: Cell::new(false),
        unread_since: Cell::new(None),
    };
    let last = {
        let mut reader = Reader::new(&link);
        let mut reading = std::pin::pin!(reader.run());
        let mut responding = std::pin::pin!(link.respond());
        let mut gone = std::pin::pin!(link.gone());
        let mut wake = now;
        loop {
            tokio::select! {
                biased;
                stop = reading.as_mut(), if !link.finished.get() => {
                    if stop == Stop::Gone {
                        break Last::Reset;
                    }
                    link.finished.set(true);
                    link.changed.notify_waiters();
                }
                last = responding.as_mut() => break last,
                () = gone.as_mut() => break Last::Reset,
                () = link.slot.closed() => {
                    link.record_closed("all places are taken");
                    break Last::Reset;
                }
                _ = closing.wait_for(|closing| *closing), if !link.draining.get() => {
                    link.draining.set(true);
                    link.changed.notify_waiters();
                }
                () = sleep_until(wake) => match link.check_timeouts() {
                    Some(next) => wake = next,
                    None => break Last::Reset,
                }
            }
        }
    };
    // Dropping the queue aborts the requests that are still running.
    link.queue.borrow_mut().clear();
    match last {
        // A reset would discard the complete responses that the client has not read yet.
        Last::Complete | Last::BrokenOff => tokio::select! {
            () = link.linger() => {}
            () = link.slot.closed() => {}
        },
        Last::Reset if link.responding.get() => link.reset(),
        Last::Reset => {}
    }
}

/// Records that a connection is closed because of a limit.
pub fn record_closed(state: &State, service: &Service, caller: IpAddr, reason: &str) {
    Metrics::count(&state.metrics.connections_closed, "reason", reason);
    let labels = [("listener", service.name().to_owned())];
    let open = state.metrics.connections.get_or_create(&labels).get();
    emit(Event::ConnectionClosed {
        listener: service.name().to_owned(),
        address: caller.to_string(),
        reason: reason.to_owned(),
        open: u64::try_from(open).unwrap_or(0),
    });
}

/// Returns the form of the response to a request.
pub fn form(method: &Method, http_1_0: bool, close: bool) -> Form {
    Form { head_only: *method == Method::HEAD, http_1_0, close }
}
