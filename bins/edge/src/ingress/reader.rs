//! The reading side of a client's connection.

use std::io::ErrorKind;
use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;
use tokio::time::timeout_at;

use caraway_adapter::header as field;

use crate::forward;
use crate::forward::Request;
use crate::ingress::body::Body;
use crate::ingress::chunk;
use crate::ingress::chunk::Decoder;
use crate::ingress::connection::Link;
use crate::ingress::connection::form;
use crate::ingress::head;
use crate::ingress::head::Framing;
use crate::ingress::head::Head;
use crate::ingress::service::Failure;
use crate::ingress::service::Plan;
use crate::ingress::writer::Form;
use crate::memory::Lease;
use crate::memory::MAX_WAIT;
use crate::reason::Reason;

/// Size by which the buffer of a connection grows. Most heads are smaller.
const BUFFER_BYTES: usize = 4 << 10;

/// Largest body of a refused request that is read and discarded, so that its connection stays open.
const MAX_DISCARD_BYTES: usize = 64 << 10;

/// Most reads in a row before other tasks, timers and sockets have their turn. A client that sends at full speed
/// would otherwise never let go.
const MAX_READS: u32 = 8;

/// Most empty lines before a request. Clients send one at most, after the body of the request before.
const MAX_EMPTY_LINES: u32 = 8;

/// Why no further request is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// The connection closes after the responses to the requests that were read.
    Finished,
    /// The client is gone.
    Gone,
}

/// The reading side of a connection. An idle connection holds no buffer.
#[derive(Debug)]
pub struct Reader<'a> {
    link: &'a Link,
    buffer: BytesMut,
    /// Memory of the buffer.
    lease: Option<Lease>,
    /// Size of the buffer as counted.
    counted: usize,
    /// Number of reads.
    reads: u32,
}

/// Why a body was not received.
enum Break {
    /// The request is refused with a response.
    Refused(Failure),
    /// The client is gone.
    Gone,
}

impl<'a> Reader<'a> {
    /// Creates the reading side of a connection.
    pub fn new(link: &'a Link) -> Self {
        Self { link, buffer: BytesMut::new(), lease: None, counted: 0, reads: 0 }
    }

    /// Reads requests and starts them.
    pub async fn run(&mut self) -> Stop {
        loop {
            self.link.wait_for_place().await;
            let (head, lease) = match self.read_head().await {
                Ok(read) => read,
                Err(stop) => return stop,
            };
            let received = self.link.last_read.get();
            match self.start(head, lease, received).await {
                None => {}
                Some(stop) => return stop,
            }
        }
    }

    /// Reads more bytes into the buffer. Fails if the client is gone, or if there is no memory: the requests
    /// that were read are then still answered.
    async fn fill(&mut self) -> Result<(), Stop> {
        loop {
            let given_up = async {
                match &self.lease {
                    Some(lease) => lease.given_up().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                ready = self.link.stream.readable() => ready.map_err(|_| Stop::Gone)?,
                () = given_up => return Err(Stop::Finished),
            }
            if !self.make_room().await {
                return Err(Stop::Finished);
            }
            match self.link.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return Err(Stop::Gone),
                Ok(size) => {
                    self.link.last_read.set(Instant::now());
                    if let Some(lease) = &self.lease {
                        lease.record_arrival(size);
                    }
                    self.yield_turn().await;
                    return Ok(());
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.release(),
                Err(_) => return Err(Stop::Gone),
            }
        }
    }

    /// Lets other tasks, timers and sockets have their turn after some reads.
    async fn yield_turn(&mut self) {
        self.reads = self.reads.wrapping_add(1);
        if self.reads.is_multiple_of(MAX_READS) {
            tokio::task::yield_now().await;
        }
    }

    /// Makes room for more bytes in the buffer. Returns false if there is no memory.
    async fn make_room(&mut self) -> bool {
        if self.buffer.len() < self.buffer.capacity() || self.buffer.try_reclaim(BUFFER_BYTES) {
            return true;
        }
        let size = self.buffer.len() + BUFFER_BYTES;
        let lease = match &mut self.lease {
            Some(lease) => lease,
            empty => empty.insert(self.link.state.memory.lease(self.link.caller)),
        };
        let more = size.saturating_sub(self.counted);
        if lease.grow(more, Instant::now() + MAX_WAIT).await.is_err() {
            return false;
        }
        self.counted += more;
        // A buffer that grows by itself would take more memory than is counted.
        let mut larger = BytesMut::with_capacity(size);
        larger.extend_from_slice(&self.buffer);
        self.buffer = larger;
        true
    }

    /// Frees the buffer if it is empty.
    fn release(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.lease = None;
            self.counted = 0;
        }
    }

    /// Reads the next head and takes the memory for it. Answers an invalid one.
    async fn read_head(&mut self) -> Result<(Head, Lease), Stop> {
        let limits = self.link.service.head_limits(&self.link.state);
        let (mut scanned, mut empty_lines) = (0, 0);
        loop {
            // A stopping process reads nothing ahead: a client that always has a request outstanding would keep its
            // connection open.
            let retiring = self.link.state.shutdown.is_stopping() && !self.link.is_idle();
            if retiring || self.link.is_closing() {
                return Err(Stop::Finished);
            }
            // Empty lines before a request are ignored.
            while scanned == 0 && self.buffer.starts_with(b"\r\n") {
                self.buffer.advance(2);
                empty_lines += 1;
                if empty_lines > MAX_EMPTY_LINES {
                    return Err(self.refuse(head::invalid("there are too many empty lines")));
                }
            }
            self.release();
            let end = match head::find_end(&self.buffer, scanned) {
                Ok(end) => end,
                Err(problem) => return Err(self.refuse(problem)),
            };
            if end.unwrap_or(self.buffer.len()) > limits.max_bytes {
                return Err(self.refuse(head::TOO_LONG));
            }
            if let Some(end) = end {
                self.link.head_started.set(None);
                let text = self.buffer.get(..end).unwrap_or_default();
                // Parsing takes the memory, so that a request that waits for memory is not parsed.
                let lease = self.link.state.memory.lease(self.link.caller);
                let deadline = self.link.last_read.get() + MAX_WAIT;
                if lease.grow(head::memory(text), deadline).await.is_err() {
                    return Err(self.refuse(head::SHORTAGE));
                }
                let text = Bytes::copy_from_slice(text);
                self.buffer.advance(end);
                let head = head::parse(&text, limits.max_fields);
                return head.map(|head| (head, lease)).map_err(|problem| self.refuse(problem));
            }
            scanned = self.buffer.len();
            if scanned == 0 {
                self.link.head_started.set(None);
                let changed = self.link.wait_changed();
                if self.link.is_draining() {
                    return Err(Stop::Finished);
                }
                tokio::select! {
                    filled = self.fill() => filled?,
                    () = changed => continue,
                }
            } else {
                let started = self.link.head_started.get().unwrap_or(self.link.last_read.get());
                self.link.head_started.set(Some(started));
                self.fill().await?;
            }
        }
    }

    fn refuse(&self, problem: head::Problem) -> Stop {
        self.link.head_started.set(None);
        self.link.service.record_invalid(&self.link.state, self.link.caller, &problem);
        self.link.refuse(problem);
        Stop::Finished
    }

    /// Receives the body of a request and starts it. Returns why no further request is read, if so.
    async fn start(&mut self, head: Head, lease: Lease, received: Instant) -> Option<Stop> {
        let link = self.link;
        let state = &link.state;
        let mut form = form(&head.parts.method, head.http_1_0, head.close);
        let id = head.parts.headers.get(field::ATTEMPT).and_then(|value| value.to_str().ok());
        let id: Arc<str> = id.unwrap_or_default().into();
        let (parts, body, caller) = (head.parts, Body::default(), link.caller);
        let mut request = Request { parts, body, caller, id, received };
        let Some(plan) = link.service.admit(state, &request.parts) else {
            lease.complete();
            let left = match head.framing {
                Framing::Length(0) => 0,
                Framing::Length(length) if !head.expects_continue => length,
                _ => usize::MAX,
            };
            form.close |= left > MAX_DISCARD_BYTES;
            // The response is made now: with a configuration that arrives in the meantime, the
            // request would be forwarded without its body.
            match link.service.reject(state, &request) {
                Some(response) => link.push(std::future::ready(response), form),
                None => link.push(link.service.clone().serve(state.clone(), request, lease), form),
            }
            return if form.close { Some(Stop::Finished) } else { self.discard(left).await };
        };
        if !plan.repeatable || head.expects_continue {
            link.wait_idle().await;
        }
        if link.is_closing() {
            return Some(Stop::Finished);
        }
        let deadline = received + plan.time_limit;
        if !link.service.has_time(state, deadline) {
            return Some(self.refuse_closing(&request, form));
        }
        if head.framing != Framing::Length(0) {
            link.receiving_body.set(true);
            let expects_continue = head.expects_continue;
            let result = self.receive(head.framing, plan, &lease, deadline, expects_continue).await;
            link.receiving_body.set(false);
            match result {
                Ok(body) => request.body = body,
                Err(Break::Gone) => return Some(Stop::Gone),
                Err(Break::Refused(failure)) => {
                    let response = link.service.refuse_body(state, &request, failure);
                    form.close = true;
                    link.push(std::future::ready(response), form);
                    return Some(Stop::Finished);
                }
            }
            // The process may have begun to stop while the body arrived.
            if !link.service.has_time(state, deadline) {
                return Some(self.refuse_closing(&request, form));
            }
        }
        lease.complete();
        self.release();
        link.push(link.service.clone().serve(state.clone(), request, lease), form);
        if form.close {
            return Some(Stop::Finished);
        }
        if !plan.repeatable || plan.streamed {
            link.wait_idle().await;
        }
        None
    }

    /// Refuses a request whose deadline a stopping process cannot wait for.
    fn refuse_closing(&self, request: &Request, mut form: Form) -> Stop {
        form.close = true;
        let response = forward::refuse_early(&self.link.state, request, Reason::Closing);
        self.link.push(std::future::ready(response), form);
        Stop::Finished
    }

    /// Receives a body after its memory is available, until the deadline of its request.
    async fn receive(
        &mut self,
        framing: Framing,
        plan: Plan,
        lease: &Lease,
        deadline: Instant,
        expects_continue: bool,
    ) -> Result<Body, Break> {
        let shutdown = &self.link.state.shutdown;
        let receive = async {
            let length = match framing {
                Framing::Length(length) if length > plan.max_body_bytes => {
                    return Err(Break::Refused(Failure::TooLong));
                }
                Framing::Length(length) => Some(length),
                Framing::Chunked => None,
            };
            grow(lease, length.unwrap_or(0), deadline).await?;
            if expects_continue && self.buffer.is_empty() {
                self.link.send_continue().await.map_err(|_| Break::Gone)?;
            }
            match length {
                Some(length) => self.receive_declared(length, lease).await,
                None => self.receive_chunks(plan.max_body_bytes, lease, deadline).await,
            }
        };
        tokio::select! {
            result = timeout_at(deadline, receive) => {
                result.unwrap_or(Err(Break::Refused(Failure::Late)))
            }
            () = lease.given_up() => Err(Break::Refused(Failure::Shortage)),
            () = shutdown.wait_for_failing() => {
                Err(Break::Refused(Failure::Closing))
            }
        }
    }

    async fn receive_declared(&mut self, length: usize, lease: &Lease) -> Result<Body, Break> {
        let mut body = Body::default();
        while body.len() < length {
            let left = length - body.len();
            if body.room() == 0 {
                body.add_piece(body.next_piece(Some(left)));
            }
            let buffered = left.min(self.buffer.len());
            if buffered > 0 {
                let size = body.push(self.buffer.get(..buffered).unwrap_or_default());
                self.buffer.advance(size);
                lease.record_arrival(size);
                continue;
            }
            // The rest is read into the body without another copy.
            self.release();
            self.link.stream.readable().await.map_err(|_| Break::Gone)?;
            match body.read_from(&self.link.stream, left) {
                Ok(0) => return Err(Break::Gone),
                Ok(size) => {
                    self.link.last_read.set(Instant::now());
                    lease.record_arrival(size);
                    self.yield_turn().await;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return Err(Break::Gone),
            }
        }
        Ok(body)
    }

    async fn receive_chunks(
        &mut self,
        max_bytes: usize,
        lease: &Lease,
        deadline: Instant,
    ) -> Result<Body, Break> {
        let mut body = Body::default();
        let mut decoder = Decoder::new();
        loop {
            let step = decoder.step(&mut self.buffer);
            let left = match step.map_err(|p| Break::Refused(Failure::Invalid(p)))? {
                chunk::Step::End => return Ok(body),
                chunk::Step::More => 0,
                chunk::Step::Data(left) => left,
            };
            if left > max_bytes - body.len() {
                return Err(Break::Refused(Failure::TooLong));
            }
            let buffered = left.min(self.buffer.len());
            if buffered == 0 {
                self.fill().await.map_err(|stop| match stop {
                    Stop::Gone => Break::Gone,
                    Stop::Finished => Break::Refused(Failure::Shortage),
                })?;
                continue;
            }
            if body.room() == 0 {
                let size = body.next_piece(None);
                grow(lease, size, deadline).await?;
                body.add_piece(size);
            }
            let size = body.push(self.buffer.get(..buffered).unwrap_or_default());
            self.buffer.advance(size);
            decoder.take(size);
            lease.record_arrival(size);
        }
    }

    /// Discards the body of a request that was answered without it.
    async fn discard(&mut self, mut left: usize) -> Option<Stop> {
        let (deadline, _) = self.link.service.timeouts(&self.link.state);
        let deadline = Instant::now() + deadline;
        while left > 0 {
            if self.buffer.is_empty() {
                match timeout_at(deadline, self.fill()).await {
                    Ok(Ok(())) => {}
                    Ok(Err(stop)) => return Some(stop),
                    Err(_) => return Some(Stop::Finished),
                }
            }
            let size = left.min(self.buffer.len());
            self.buffer.advance(size);
            left -= size;
        }
        None
    }
}

async fn grow(lease: &Lease, bytes: usize, deadline: Instant) -> Result<(), Break> {
    lease.grow(bytes, deadline).await.map_err(|_| Break::Refused(Failure::Shortage))
}
