//! Verification of the targets' generated response bodies, and generated request bodies.

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
/// Size of the chunks of a request body.
const CHUNK_BYTES: u64 = 64 * 1024;

/// Computes the 64-bit FNV-1a hash, without the finalizer of the shard hash.
pub fn fnv1a64(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Result of the verification of a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Integrity {
    /// The body is complete and belongs to the expected request.
    Complete,
    /// The body is a proper prefix of the expected body.
    Truncated,
    /// The content differs from that of the expected body.
    Mismatched,
}

/// Verifies a response body incrementally against the body generated for one request id.
///
/// The first line is the request id. Byte `i` of the filler after it is
/// `b'a' + (fnv1a64(request id) + i) % 26`.
#[derive(Clone, Debug)]
pub struct Checker {
    first_line: Vec<u8>,
    filler_offset: u64,
    expected_bytes: Option<u64>,
    received_bytes: u64,
    mismatched: bool,
}

impl Checker {
    /// Creates a checker. `expected_bytes` is the size of the complete body if it is known.
    pub fn new(request_id: &str, expected_bytes: Option<u64>) -> Self {
        let mut first_line = request_id.as_bytes().to_vec();
        first_line.push(b'\n');
        Self {
            first_line,
            filler_offset: fnv1a64(request_id.as_bytes()) % 26,
            expected_bytes,
            received_bytes: 0,
            mismatched: false,
        }
    }

    /// Adds the next chunk of the body.
    pub fn add(&mut self, chunk: &[u8]) {
        let start = usize::try_from(self.received_bytes).unwrap_or(usize::MAX);
        let line_rest = self.first_line.get(start..).unwrap_or(&[]);
        let line_length = line_rest.len().min(chunk.len());
        let (head, filler) = chunk.split_at(line_length);
        self.mismatched |= !line_rest.starts_with(head);
        let first_line_bytes = u64::try_from(self.first_line.len()).unwrap_or(0);
        let first = self.received_bytes.max(first_line_bytes) - first_line_bytes;
        let mut letter = u8::try_from((self.filler_offset + first % 26) % 26).unwrap_or(0);
        for byte in filler {
            self.mismatched |= *byte != b'a' + letter;
            letter = if letter == 25 { 0 } else { letter + 1 };
        }
        self.received_bytes += u64::try_from(chunk.len()).unwrap_or(0);
    }

    /// Returns the number of body bytes verified so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Returns the integrity of the body after its last chunk.
    pub fn finish(&self) -> Integrity {
        let first_line_bytes = u64::try_from(self.first_line.len()).unwrap_or(0);
        let size_bytes = self.expected_bytes.unwrap_or(first_line_bytes).max(first_line_bytes);
        if self.mismatched {
            return Integrity::Mismatched;
        }
        if self.received_bytes < size_bytes {
            return Integrity::Truncated;
        }
        if self.expected_bytes.is_some() && self.received_bytes > size_bytes {
            return Integrity::Mismatched;
        }
        Integrity::Complete
    }
}

/// A request body of a given size, generated in chunks.
#[derive(Clone, Debug)]
pub struct Upload {
    remaining_bytes: u64,
    chunk: Bytes,
}

impl Upload {
    /// Creates a body of `size_bytes` bytes.
    pub fn new(size_bytes: u64) -> Self {
        let bytes = usize::try_from(size_bytes.min(CHUNK_BYTES)).unwrap_or(0);
        Self { remaining_bytes: size_bytes, chunk: Bytes::from(vec![b'u'; bytes]) }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining_bytes == 0 {
            return Poll::Ready(None);
        }
        let size_bytes =
            usize::try_from(self.remaining_bytes).unwrap_or(usize::MAX).min(self.chunk.len());
        self.remaining_bytes -= u64::try_from(size_bytes).unwrap_or(0);
        Poll::Ready(Some(Ok(Frame::data(self.chunk.slice(..size_bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}
