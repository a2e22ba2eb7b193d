//! Writing of responses to a client.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::header;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::response::Body;

/// Number of written bytes that count as progress. A client that reads single bytes makes none.
const PROGRESS_BYTES: usize = 1 << 10;

/// Most bytes that are collected before a write. Larger pieces are written as they are.
const MAX_JOINED_BYTES: usize = 8 << 10;

/// Most frames of a body that are taken before other tasks, timers and sockets have their turn. Ten responses in
/// endless small chunks delayed all timers by up to 2 s when only the runtime's own budget ended their turn.
const MAX_FRAMES: u32 = 32;

/// How a response is written.
#[derive(Clone, Copy, Debug)]
pub struct Form {
    /// Whether the request was a HEAD request.
    pub head_only: bool,
    /// Whether the client uses HTTP/1.0.
    pub http_1_0: bool,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

/// The sending side of a connection.
#[derive(Debug)]
pub struct Writer<'a> {
    stream: &'a TcpStream,
    /// Time since which the client has taken too few bytes of a response that is waiting for it.
    unread_since: &'a Cell<Option<Instant>>,
    /// Number of bytes written since the last progress.
    written: usize,
}

/// Why a response was not written completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Break {
    /// The client is gone.
    Client,
    /// The body ended early. The framing shows that what was written is not complete.
    Body,
    /// The body ended early or is too long, and only a reset shows that what was written is not complete.
    Unframed,
}

impl From<io::Error> for Break {
    fn from(_: io::Error) -> Self {
        Self::Client
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    None,
    Length(u64),
    Chunked,
    Close,
}

impl<'a> Writer<'a> {
    /// Creates the sending side of a connection.
    pub fn new(stream: &'a TcpStream, unread_since: &'a Cell<Option<Instant>>) -> Self {
        Self { stream, unread_since, written: 0 }
    }

    /// Writes a response.
    ///
    /// # Errors
    ///
    /// Fails if the client is gone or the body ends early. The connection must then be closed.
    pub async fn respond(&mut self, response: Response<Body>, form: Form) -> Result<(), Break> {
        let (mut parts, mut body) = response.into_parts();
        let without_body =
            matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let framing = match body.size_hint().exact() {
            _ if form.head_only || without_body => Framing::None,
            Some(length) => Framing::Length(length),
            None if form.http_1_0 => Framing::Close,
            None => Framing::Chunked,
        };
        let length = parts.headers.remove(header::CONTENT_LENGTH);
        let mut head = Vec::with_capacity(512);
        head.extend_from_slice(b"HTTP/1.1 ");
        head.extend_from_slice(parts.status.as_str().as_bytes());
        head.push(b' ');
        head.extend_from_slice(parts.status.canonical_reason().unwrap_or("").as_bytes());
        head.extend_from_slice(b"\r\n");
        let mut add = |name: &[u8], value: &[u8]| {
            head.extend_from_slice(name);
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        };
        for (name, value) in &parts.headers {
            if !matches!(*name, header::CONNECTION | header::TRANSFER_ENCODING) {
                add(name.as_str().as_bytes(), value.as_bytes());
            }
        }
        if !parts.headers.contains_key(header::DATE) {
            add(b"date", httpdate::fmt_http_date(SystemTime::now()).as_bytes());
        }
        match (framing, length) {
            (Framing::Length(length), _) => add(b"content-length", length.to_string().as_bytes()),
            (Framing::Chunked, _) => add(b"transfer-encoding", b"chunked"),
            // The length that the response to a GET request would have.
            (Framing::None, Some(length)) if !without_body => {
                add(b"content-length", length.as_bytes());
            }
            (Framing::None | Framing::Close, _) => {}
        }
        if form.close || framing == Framing::Close {
            add(b"connection", b"close");
        }
        head.extend_from_slice(b"\r\n");
        let mut left = match framing {
            Framing::Length(length) => length,
            _ => u64::MAX,
        };
        if framing == Framing::Close {
            // The operating system closes the connections of a process that ends. Without a reset, what the client
            // has got by then would look complete.
            SockRef::from(self.stream).set_linger(Some(Duration::ZERO))?;
        }
        // Everything that is there already goes out together, as one chunk: a target may send very small ones.
        let chunked = framing == Framing::Chunked;
        let mut joined = Vec::new();
        let mut frames = 0_u32;
        while !body.is_end_stream() {
            frames += 1;
            if frames.is_multiple_of(MAX_FRAMES) {
                tokio::task::yield_now().await;
            }
            let ready = poll_fn(|cx| {
                Poll::Ready(match Pin::new(&mut body).poll_frame(cx) {
                    Poll::Ready(frame) => Some(frame),
                    Poll::Pending => None,
                })
            });
            let next = match ready.await {
                Some(next) => next,
                None => {
                    self.write_data(&mut head, &joined, chunked).await?;
                    joined.clear();
                    body.frame().await
                }
            };
            let ended_early = match framing {
                Framing::Length(_) | Framing::Chunked => Break::Body,
                Framing::None | Framing::Close => Break::Unframed,
            };
            let next = next.transpose().map_err(|_| ended_early)?;
            let Some(data) = next.map(data) else { break };
            left = left.checked_sub(data.len() as u64).ok_or(Break::Unframed)?;
            if framing == Framing::None {
                continue;
            }
            if joined.len() + data.len() > MAX_JOINED_BYTES {
                self.write_data(&mut head, &joined, chunked).await?;
                joined.clear();
            }
            if data.len() > MAX_JOINED_BYTES {
                self.write_data(&mut head, &data, chunked).await?;
            } else {
                joined.extend_from_slice(&data);
            }
        }
        if matches!(framing, Framing::Length(_)) && left > 0 {
            return Err(Break::Body);
        }
        let end: &[u8] = if chunked { b"0\r\n\r\n" } else { b"" };
        if joined.is_empty() {
            self.write([&head, end, b""]).await?;
        } else {
            self.write_data(&mut head, &joined, chunked).await?;
            self.write([end, b"", b""]).await?;
        }
        if framing == Framing::Close {
            SockRef::from(self.stream).set_linger(None)?;
        }
        Ok(())
    }

    /// Writes what is left of a head, and data.
    async fn write_data(
        &mut self,
        head: &mut Vec<u8>,
        data: &[u8],
        chunked: bool,
    ) -> io::Result<()> {
        let framed = chunked && !data.is_empty();
        if framed {
            head.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        }
        let end: &[u8] = if framed { b"\r\n" } else { b"" };
        self.write([head, data, end]).await?;
        head.clear();
        Ok(())
    }

    /// Writes parts one after the other.
    ///
    /// # Errors
    ///
    /// Fails if the client is gone.
    pub async fn write(&mut self, mut parts: [&[u8]; 3]) -> io::Result<()> {
        while parts.iter().any(|part| !part.is_empty()) {
            let slices = parts.map(IoSlice::new);
            match self.stream.try_write_vectored(&slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(mut size) => {
                    self.written += size;
                    if self.written >= PROGRESS_BYTES {
                        self.written = 0;
                        self.unread_since.set(None);
                    }
                    for part in &mut parts {
                        let used = size.min(part.len());
                        *part = part.get(used..).unwrap_or_default();
                        size -= used;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.unread_since.get().is_none() {
                        self.unread_since.set(Some(Instant::now()));
                    }
                    self.stream.writable().await?;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.unread_since.set(None);
        Ok(())
    }
}

fn data(frame: Frame<Bytes>) -> Bytes {
    frame.into_data().unwrap_or_default()
}
