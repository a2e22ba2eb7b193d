//! HTTP/1.1 connections to targets, to the store and to other instances.
//!
//! A connection tells what hyper's client hides and the promises to callers depend on: whether any
//! byte of a request was sent, and whether bytes beyond an answer arrived.

use std::fmt::Write;
use std::future::poll_fn;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
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

/// Longest time in which sent bytes must be acknowledged. A peer that is alive acknowledges within
/// a round trip; this allows for one lost packet and its repetition after 200 to 400 ms.
const ACKNOWLEDGE: Duration = Duration::from_millis(900);

/// Silence after which a connection is probed, and time between two probes; whole seconds are the
/// least that the system offers.
const PROBE: Duration = Duration::from_secs(1);

/// Largest head of an answer.
const HEAD_BYTES: usize = 32 << 10;

/// Largest number of header fields of an answer.
const HEADERS: usize = 64;

/// Bytes that are read at a time.
const READ_BYTES: usize = 8 << 10;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// The body has ended.
    Ended,
    /// This many bytes are left.
    Length(u64),
    /// A chunk's size line comes next.
    ChunkSize,
    /// This many bytes of a chunk are left.
    Chunk(u64),
    /// The line break after a chunk comes next.
    ChunkEnd,
    /// Lines after the last chunk come next.
    Trailers,
    /// The body ends with the connection.
    Close,
}

/// Status and headers of an answer.
#[derive(Debug)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    /// Length of the body, if the answer states it.
    pub length: Option<u64>,
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    framing: Framing,
    /// Whether the other side closes it after the answer, or the answer broke the protocol.
    closing: bool,
    /// Longest time that the other side keeps it open while it is idle, if it said so.
    pub keep: Option<Duration>,
    /// When its latest answer ended.
    pub idle_since: Stamp,
}

fn invalid(problem: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, problem)
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if it is refused or not open after `limit`. Nothing was sent then.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(ACKNOWLEDGE))?;
        let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(2);
        socket.set_tcp_keepalive(&probes)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            framing: Framing::Ended,
            closing: false,
            keep: None,
            idle_since: Stamp::default(),
        })
    }

    /// Makes the end of the connection a reset, so that the other side gets nothing of what is
    /// still on its way.
    pub fn reset(&self) {
        // Fails only if the socket is gone, which is what is wanted.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Returns whether another request can be sent: the answer was whole, nothing came after it
    /// and the other side has not closed.
    pub fn reusable(&self) -> bool {
        if self.closing || self.framing != Framing::Ended || !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Frees the buffer of an idle connection.
    pub fn rest(&mut self, now: Stamp) {
        self.idle_since = now;
        self.buffer = BytesMut::new();
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken. Some of the bytes may have been sent.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads status and headers of the next answer. Interim answers are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or what comes is no answer.
    pub async fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(head) = self.parse()? {
                if head.status >= 200 {
                    return Ok(head);
                }
                continue;
            }
            if self.buffer.len() > HEAD_BYTES {
                return Err(invalid("the head of the answer is too long"));
            }
            if poll_fn(|cx| self.poll_fill(cx)).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn parse(&mut self) -> io::Result<Option<Head>> {
        let mut fields = [httparse::EMPTY_HEADER; HEADERS];
        let mut response = httparse::Response::new(&mut fields);
        let size = match response.parse(&self.buffer) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(invalid(&error.to_string())),
        };
        let status = response.code.unwrap_or(0);
        let old = response.version == Some(0);
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
        self.closing = old || has_token(&headers, header::CONNECTION, "close");
        self.keep = keep_alive(&headers);
        self.framing = framing(status, &headers)?;
        if self.framing == Framing::Close {
            self.closing = true;
        }
        let length = match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Ended => Some(0),
            _ => None,
        };
        Ok(Some(Head { status, headers, length }))
    }

    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.buffer.reserve(READ_BYTES / 2);
        let mut space = [std::mem::MaybeUninit::<u8>::uninit(); READ_BYTES];
        let mut read = ReadBuf::uninit(&mut space);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.buffer.extend_from_slice(read.filled());
        Poll::Ready(Ok(read.filled().len()))
    }

    /// Returns the next bytes of the body, or none at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body does.
    pub fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        loop {
            if let Some(step) = self.decode()? {
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

    /// Returns the next bytes of the body, or none at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body does.
    pub async fn body(&mut self) -> io::Result<Option<Bytes>> {
        poll_fn(|cx| self.poll_body(cx)).await
    }

    /// Takes body bytes out of the buffer. The outer none stands for too few bytes.
    fn decode(&mut self) -> io::Result<Option<Option<Bytes>>> {
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
                            if size == 0 { Framing::Trailers } else { Framing::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) => return Ok(None),
                    Err(_) => return Err(invalid("a chunk of the answer has no size")),
                },
                Framing::ChunkEnd => {
                    let Some(end) = self.buffer.get(..2) else { return Ok(None) };
                    if end != b"\r\n" {
                        return Err(invalid("a chunk of the answer does not end"));
                    }
                    self.buffer.advance(2);
                    self.framing = Framing::ChunkSize;
                }
                Framing::Trailers => {
                    let line = self.buffer.windows(2).position(|pair| pair == b"\r\n");
                    let Some(length) = line else { return Ok(None) };
                    self.buffer.advance(length + 2);
                    if length == 0 {
                        self.framing = Framing::Ended;
                    }
                }
            }
        }
    }
}

/// Returns whether a header that lists words has a word.
pub fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let words = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
    words.flat_map(|text| text.split(',')).any(|word| word.trim().eq_ignore_ascii_case(token))
}

/// Returns whether a header of a caller or a target concerns more than one connection.
pub fn end_to_end(headers: &HeaderMap, name: &str) -> bool {
    let hop = matches!(
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
    !hop && !has_token(headers, header::CONNECTION, name)
}

fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let words = text.split(',').filter_map(|word| word.trim().split_once('='));
    let mut limits = words.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    limits.next()?.1.trim().parse().ok().map(Duration::from_secs)
}

fn framing(status: u16, headers: &HeaderMap) -> io::Result<Framing> {
    if status == 204 || status == 304 {
        return Ok(Framing::Ended);
    }
    if headers.contains_key(header::TRANSFER_ENCODING) {
        let chunked = has_token(headers, header::TRANSFER_ENCODING, "chunked");
        let both = headers.contains_key(header::CONTENT_LENGTH);
        if !chunked || both {
            return Err(invalid("the length of the answer is ambiguous"));
        }
        return Ok(Framing::ChunkSize);
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).into_iter();
    let Some(first) = lengths.next() else { return Ok(Framing::Close) };
    if lengths.any(|other| other != first) {
        return Err(invalid("the answer has two lengths"));
    }
    let length: Option<u64> = first.to_str().ok().and_then(|text| text.parse().ok());
    match length {
        None => Err(invalid("the length of the answer cannot be read")),
        Some(0) => Ok(Framing::Ended),
        Some(length) => Ok(Framing::Length(length)),
    }
}

/// Builds a request with a JSON body for the store, a target's grants or another instance.
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
