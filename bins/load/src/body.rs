//! The body formula of the targets, and request bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Size of the pieces of a request body.
const CHUNK_BYTES: u64 = 64 * 1024;

/// Computes FNV-1a with 64 bits, without the finalizer of the shard hash.
pub fn fnv1a64(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// What a body turned out to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Integrity {
    /// The body is whole and belongs to the expected request.
    Whole,
    /// The body is a proper prefix of the expected one.
    Truncated,
    /// The body has other content than expected.
    Wrong,
}

/// Checks a body piece by piece against the formula for one request id.
///
/// The first line is the request id. Byte i of the filler after it is
/// `b'a' + (fnv1a64(request id) + i) % 26`.
#[derive(Clone, Debug)]
pub struct Checker {
    line: Vec<u8>,
    phase: u64,
    expected: Option<u64>,
    position: u64,
    wrong: bool,
}

impl Checker {
    /// Makes a checker. `expected` is the size of the whole body if it is known.
    pub fn new(request_id: &str, expected: Option<u64>) -> Self {
        let mut line = request_id.as_bytes().to_vec();
        line.push(b'\n');
        Self {
            line,
            phase: fnv1a64(request_id.as_bytes()) % 26,
            expected,
            position: 0,
            wrong: false,
        }
    }

    /// Adds the next piece of the body.
    pub fn add(&mut self, piece: &[u8]) {
        let start = usize::try_from(self.position).unwrap_or(usize::MAX);
        let line = self.line.get(start..).unwrap_or(&[]);
        let in_line = line.len().min(piece.len());
        let (head, filler) = piece.split_at(in_line);
        self.wrong |= !line.starts_with(head);
        let line_bytes = u64::try_from(self.line.len()).unwrap_or(0);
        let first = self.position.max(line_bytes) - line_bytes;
        let mut offset = u8::try_from((self.phase + first % 26) % 26).unwrap_or(0);
        for byte in filler {
            self.wrong |= *byte != b'a' + offset;
            offset = if offset == 25 { 0 } else { offset + 1 };
        }
        self.position += u64::try_from(piece.len()).unwrap_or(0);
    }

    /// Returns the number of bytes that were added.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns what the whole body is.
    pub fn finish(&self) -> Integrity {
        let line_bytes = u64::try_from(self.line.len()).unwrap_or(0);
        let size = self.expected.unwrap_or(line_bytes).max(line_bytes);
        if self.wrong {
            return Integrity::Wrong;
        }
        if self.position < size {
            return Integrity::Truncated;
        }
        if self.expected.is_some() && self.position > size {
            return Integrity::Wrong;
        }
        Integrity::Whole
    }
}

/// A request body of a given size that is made piece by piece.
#[derive(Clone, Debug)]
pub struct Upload {
    left: u64,
    piece: Bytes,
}

impl Upload {
    /// Makes a body of `size` bytes.
    pub fn new(size: u64) -> Self {
        let bytes = usize::try_from(size.min(CHUNK_BYTES)).unwrap_or(0);
        Self { left: size, piece: Bytes::from(vec![b'u'; bytes]) }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let size = usize::try_from(self.left).unwrap_or(usize::MAX).min(self.piece.len());
        self.left -= u64::try_from(size).unwrap_or(0);
        Poll::Ready(Some(Ok(Frame::data(self.piece.slice(..size)))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
