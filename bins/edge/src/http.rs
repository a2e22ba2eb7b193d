//! HTTP/1.1 client connections to targets, the store and other instances.
//!
//! Unlike hyper's client, a connection reports whether any byte of a request was sent and whether
//! surplus bytes arrived after a response. The guarantees to callers depend on both.

use std::fmt::Write;
use std::future::poll_fn;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::timeout;

use caraway_core::time::Stamp;

use crate::memory::Lease;

/// Timeout for the acknowledgment of sent data. A live peer acknowledges within one round trip; the timeout
/// allows for one lost packet and its retransmission after 200 to 400 ms.
const ACKNOWLEDGMENT_TIMEOUT: Duration = Duration::from_millis(900);

/// Idle time before the first TCP keepalive probe, and interval between probes. One second is the
/// smallest value that the operating system supports.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Statuses of responses, including interim ones.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// Size limit of a response head.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of header fields in a response.
const MAX_HEADERS: usize = 64;

/// Maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Size limit of the size line of a chunk, with its extensions, and of each trailer line.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Size limit of all trailer lines of a response together.
const MAX_TRAILER_BYTES: usize = MAX_HEAD_BYTES;

/// Maximum number of refused requests on a connection that is reused.
const MAX_REFUSALS: usize = 16;

/// Read buffer size. Only the head of a response may need a larger buffer.
pub const READ_BYTES: usize = 8 << 10;

/// Decoder state: how the end of the body is determined, and what comes next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// The body is complete.
    Ended,
    /// This many bytes of the body remain.
    Length(u64),
    /// Next is the size line of a chunk.
    ChunkSize,
    /// This many bytes of a chunk remain.
    Chunk(u64),
    /// Next is the line break after a chunk.
    ChunkEnd,
    /// Next are the trailers after the last chunk, of which this many bytes have been read.
    Trailers(usize),
    /// The close of the connection ends the body.
    Close,
}

/// Status and header fields of a response.
#[derive(Debug)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    /// Length of the body in bytes, if the response states it.
    pub length: Option<u64>,
}

/// A client connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Most bytes that the buffer may hold.
    limit: usize,
    framing: Framing,
    /// Whether the peer closes the connection after the response, so that it cannot be reused.
    closing: bool,
    /// Whether responses have no body, since the request is a HEAD request.
    bodiless: bool,
    /// Idle timeout that the peer announced in a `keep-alive` header.
    pub keep_alive: Option<Duration>,
    /// Time at which the connection became idle.
    pub idle_since: Stamp,
    /// Ids of the requests that the peer has refused on this connection. Another copy of such a
    /// refusal would look like the response to the same request when it is sent again.
    refusals: Vec<Arc<str>>,
    /// Id of the request that the peer responded to last.
    answered: Option<Arc<str>>,
    /// Whether the timeout for the acknowledgment of sent data differs from [`ACKNOWLEDGMENT_TIMEOUT`].
    timeout_changed: bool,
}

fn invalid(problem: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, problem)
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not established within `limit`. Nothing has been sent
    /// in this case.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(ACKNOWLEDGMENT_TIMEOUT))?;
        let probes =
            TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE).with_retries(2);
        socket.set_tcp_keepalive(&probes)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            limit: READ_BYTES,
            framing: Framing::Ended,
            closing: false,
            bodiless: false,
            keep_alive: None,
            idle_since: Stamp::default(),
            refusals: Vec::new(),
            answered: None,
            timeout_changed: false,
        })
    }

    /// Records that the peer refused a request. `id` is the id that the refusal repeats. Without
    /// one, a later copy of the refusal could not be told from the refusal of another request, so
    /// the connection is not reused.
    pub fn record_refusal(&mut self, id: Option<&Arc<str>>) {
        match id {
            Some(id) if self.refusals.len() < MAX_REFUSALS => self.refusals.push(id.clone()),
            _ => self.closing = true,
        }
    }

    /// Returns whether the peer has refused a request with this id on the connection.
    pub fn has_refused(&self, id: &str) -> bool {
        self.refusals.iter().any(|refused| **refused == *id)
    }

    /// Returns whether the connection has carried no response yet.
    pub fn is_unused(&self) -> bool {
        self.answered.is_none() && self.refusals.is_empty()
    }

    /// Records that the peer responded to the request with this id.
    pub fn record_response(&mut self, id: &Arc<str>) {
        self.answered = Some(id.clone());
    }

    /// Returns whether a copy of an earlier response on the connection would look like the response
    /// to a request with this id. Callers may send several requests with the same id, also an empty
    /// one. A copy comes in place of the next response, so the latest one decides.
    pub fn has_answered(&self, id: &str) -> bool {
        self.has_refused(id) || self.answered.as_deref() == Some(id)
    }

    /// Prevents that another request is sent on the connection.
    pub fn close_after_response(&mut self) {
        self.closing = true;
    }

    /// Sets whether the response to the next request has no body, whatever its header fields say.
    pub fn set_bodiless(&mut self, bodiless: bool) {
        self.bodiless = bodiless;
    }

    /// Makes closing the connection send a TCP reset, which discards data that is not yet delivered.
    pub fn reset_on_close(&self) {
        // Fails only if the socket is already closed.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Lets the peer take this long to read what is sent. The timeout for the acknowledgment of sent data also ends
    /// connections of peers that are alive and read nothing for a while.
    ///
    /// # Errors
    ///
    /// Fails if the socket is closed.
    pub fn set_acknowledgment_timeout(&mut self, time: Duration) -> io::Result<()> {
        self.timeout_changed = true;
        SockRef::from(&self.stream).set_tcp_user_timeout(Some(time))
    }

    /// Returns whether another request can be sent: the response is complete, no surplus bytes
    /// followed it and the peer has not closed the connection.
    pub fn is_reusable(&self) -> bool {
        if self.closing || self.framing != Framing::Ended || !self.buffer.is_empty() {
            return false;
        }
        matches!(self.peek(), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Returns whether the peer has closed the connection, and nothing is left to read.
    pub fn is_closed_by_peer(&self) -> bool {
        match self.peek() {
            Ok(waiting) => waiting == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Asks the operating system for a byte that is waiting, since the runtime may not have learned
    /// of new bytes yet.
    fn peek(&self) -> io::Result<usize> {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte)
    }

    /// Marks the connection as idle and frees its buffer.
    pub fn set_idle(&mut self, now: Stamp) {
        self.idle_since = now;
        self.buffer = BytesMut::new();
        self.limit = READ_BYTES;
        if std::mem::take(&mut self.timeout_changed) {
            // Fails only if the socket is closed, which is found when it is taken from the pool.
            let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(ACKNOWLEDGMENT_TIMEOUT));
        }
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken. Part of the request may have been sent.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the head of the next response, skipping interim (1xx) responses. What it takes beyond [`READ_BYTES`] draws
    /// from `lease`.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes, the data is not a valid response, the head is too long or there is no memory
    /// for it.
    pub async fn read_head(&mut self, lease: &Lease) -> io::Result<Head> {
        // A parsed head is held beside its text.
        self.read_head_within(MAX_HEAD_BYTES, || lease.try_grow_optional(2 * READ_BYTES)).await
    }

    /// Reads the head of the next response like [`Connection::read_head`], with a size limit. `grow` takes the memory
    /// for a larger buffer and returns false if there is none.
    ///
    /// # Errors
    ///
    /// Fails like [`Connection::read_head`].
    pub async fn read_head_within(
        &mut self,
        max_bytes: usize,
        grow: impl Fn() -> bool,
    ) -> io::Result<Head> {
        let mut interim = 0;
        // Size of the buffer at the latest attempt to parse it.
        let mut parsed = 0;
        loop {
            if self.buffer.len() >= parsed * 2 || self.has_blank_line(parsed) {
                parsed = self.buffer.len();
                if let Some(head) = self.parse_head()? {
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    interim += 1;
                    if interim > MAX_INTERIM_RESPONSES {
                        return Err(invalid("too many interim responses"));
                    }
                    parsed = 0;
                    continue;
                }
            }
            if self.buffer.len() > max_bytes {
                return Err(invalid("the response head is too long"));
            }
            if self.buffer.len() >= self.limit {
                if !grow() {
                    let problem = "no memory for the response head";
                    return Err(io::Error::new(ErrorKind::OutOfMemory, problem));
                }
                self.limit += READ_BYTES;
            }
            if poll_fn(|cx| self.poll_fill(cx)).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Returns whether the buffer contains the end of a head beyond its first `parsed` bytes. A
    /// head that arrives byte by byte is parsed only then, and each time that its size has doubled.
    fn has_blank_line(&self, parsed: usize) -> bool {
        let unseen = self.buffer.get(parsed.saturating_sub(3)..).unwrap_or_default();
        unseen.windows(2).any(|pair| pair == b"\n\n")
            || unseen.windows(4).any(|bytes| bytes == b"\r\n\r\n")
            || unseen.windows(3).any(|bytes| bytes == b"\n\r\n")
    }

    fn parse_head(&mut self) -> io::Result<Option<Head>> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut fields);
        let size = match response.parse(&self.buffer) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(invalid(&error.to_string())),
        };
        // The parser accepts any three digits. Those below 200 would be skipped as interim responses.
        let status = response.code.filter(|status| STATUSES.contains(status));
        let status = status.ok_or_else(|| invalid("the status of the response is invalid"))?;
        let http_1_0 = response.version == Some(0);
        let mut headers = HeaderMap::with_capacity(response.headers.len());
        for field in response.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let value = HeaderValue::from_bytes(field.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        self.buffer.advance(size);
        if status < 200 {
            return Ok(Some(Head { status, headers, length: None }));
        }
        self.closing = http_1_0 || has_token(&headers, header::CONNECTION, "close");
        self.keep_alive = keep_alive(&headers);
        self.framing = framing(status, &headers)?;
        if self.framing == Framing::Close {
            self.closing = true;
        }
        let length = match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Ended => Some(0),
            _ => None,
        };
        if self.bodiless {
            self.framing = Framing::Ended;
        }
        Ok(Some(Head { status, headers, length }))
    }

    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        // The parts of a body that are decoded only as a whole are shorter than the buffer.
        let room = self.limit.saturating_sub(self.buffer.len()).min(READ_BYTES);
        if room == 0 {
            return Poll::Ready(Err(invalid("the response does not fit into its buffer")));
        }
        let mut space = [std::mem::MaybeUninit::<u8>::uninit(); READ_BYTES];
        let space = space.get_mut(..room).unwrap_or_default();
        let mut read = ReadBuf::uninit(space);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        let size = read.filled().len();
        let spare = self.buffer.capacity() - self.buffer.len();
        if spare < size && !self.buffer.try_reclaim(size) {
            // A buffer that grows by itself would take up to twice as much.
            let mut larger = BytesMut::with_capacity(self.buffer.len() + size.max(READ_BYTES / 2));
            larger.extend_from_slice(&self.buffer);
            self.buffer = larger;
        }
        self.buffer.extend_from_slice(read.filled());
        Poll::Ready(Ok(size))
    }

    /// Polls for the next bytes of the body; `None` is the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes before the body is complete.
    pub fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        loop {
            if let Some(step) = self.decode_body()? {
                return Poll::Ready(Ok(step));
            }
            if ready!(self.poll_fill(cx))? == 0 {
                if self.framing == Framing::Close && self.buffer.is_empty() {
                    self.framing = Framing::Ended;
                    return Poll::Ready(Ok(None));
                }
                return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    /// Reads the next bytes of the body; `None` is the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes before the body is complete.
    pub async fn read_body(&mut self) -> io::Result<Option<Bytes>> {
        poll_fn(|cx| self.poll_body(cx)).await
    }

    /// Decodes body bytes from the buffer. The outer `None` means that more data is needed, the
    /// inner one is the end of the body.
    fn decode_body(&mut self) -> io::Result<Option<Option<Bytes>>> {
        loop {
            match self.framing {
                Framing::Ended => return Ok(Some(None)),
                Framing::Close => {
                    let empty = self.buffer.is_empty();
                    return Ok((!empty).then(|| Some(self.buffer.split().freeze())));
                }
                Framing::Length(left) | Framing::Chunk(left) => {
                    if self.buffer.is_empty() {
                        return Ok(None);
                    }
                    let size = usize::try_from(left).unwrap_or(usize::MAX).min(self.buffer.len());
                    let left = left - u64::try_from(size).unwrap_or(0);
                    self.framing = match (self.framing, left) {
                        (Framing::Length(_), 0) => Framing::Ended,
                        (Framing::Length(_), left) => Framing::Length(left),
                        (_, 0) => Framing::ChunkEnd,
                        (_, left) => Framing::Chunk(left),
                    };
                    return Ok(Some(Some(self.buffer.split_to(size).freeze())));
                }
                Framing::ChunkSize => match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        self.buffer.advance(used);
                        self.framing =
                            if size == 0 { Framing::Trailers(0) } else { Framing::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) if self.buffer.len() > MAX_LINE_BYTES => {
                        return Err(invalid("the size line of a chunk is too long"));
                    }
                    Ok(httparse::Status::Partial) => return Ok(None),
                    Err(_) => return Err(invalid("invalid chunk size in the response")),
                },
                Framing::ChunkEnd => {
                    let Some(end) = self.buffer.get(..2) else { return Ok(None) };
                    if end != b"\r\n" {
                        return Err(invalid("missing line break after a chunk of the response"));
                    }
                    self.buffer.advance(2);
                    self.framing = Framing::ChunkSize;
                }
                Framing::Trailers(before) => {
                    let line = self.buffer.windows(2).position(|pair| pair == b"\r\n");
                    let read = before + line.map_or(self.buffer.len(), |length| length + 2);
                    if read > MAX_TRAILER_BYTES || read - before > MAX_LINE_BYTES {
                        return Err(invalid("the trailers of the response are too long"));
                    }
                    let Some(length) = line else { return Ok(None) };
                    self.buffer.advance(length + 2);
                    self.framing =
                        if length == 0 { Framing::Ended } else { Framing::Trailers(read) };
                }
            }
        }
    }
}

/// Returns whether a comma-separated header field contains a token, ignoring case.
pub fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|text| text.split(',')).any(|item| item.trim().eq_ignore_ascii_case(token))
}

/// Returns whether a header field is end-to-end, that is, not hop-by-hop.
pub fn is_end_to_end(headers: &HeaderMap, name: &str) -> bool {
    let hop_by_hop = matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    );
    !hop_by_hop && !has_token(headers, header::CONNECTION, name)
}

/// Returns the timeout of a `keep-alive` header field.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').filter_map(|item| item.trim().split_once('='));
    let mut timeouts = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    timeouts.next()?.1.trim().parse().ok().map(Duration::from_secs)
}

fn framing(status: u16, headers: &HeaderMap) -> io::Result<Framing> {
    if status == 204 || status == 304 {
        return Ok(Framing::Ended);
    }
    if headers.contains_key(header::TRANSFER_ENCODING) {
        // No other coding is asked for, and none is decoded.
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).into_iter();
        let first = codings.next().is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked"));
        let chunked = first && codings.next().is_none();
        let both = headers.contains_key(header::CONTENT_LENGTH);
        if !chunked || both {
            return Err(invalid("ambiguous response length"));
        }
        return Ok(Framing::ChunkSize);
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).into_iter();
    let Some(first) = lengths.next() else { return Ok(Framing::Close) };
    if lengths.any(|other| other != first) {
        return Err(invalid("conflicting content-length fields in the response"));
    }
    // Parsing alone would accept a sign.
    let digits = first.as_bytes().iter().all(u8::is_ascii_digit);
    let length: Option<u64> =
        first.to_str().ok().filter(|_| digits).and_then(|text| text.parse().ok());
    match length {
        None => Err(invalid("invalid content-length in the response")),
        Some(0) => Ok(Framing::Ended),
        Some(length) => Ok(Framing::Length(length)),
    }
}

/// Encodes a request with a JSON body to the store, a target's grant endpoint or another instance.
pub fn request(method: &str, path: &str, host: SocketAddr, body: &str) -> Vec<u8> {
    let mut text = String::with_capacity(128 + path.len() + body.len());
    // Writing to a string does not fail.
    let _ = write!(text, "{method} {path} HTTP/1.1\r\nhost: {host}\r\n");
    if !body.is_empty() {
        text.push_str("content-type: application/json\r\n");
    }
    if method != "GET" {
        let _ = write!(text, "content-length: {}\r\n", body.len());
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
