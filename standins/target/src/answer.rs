//! Answer bodies and checksums.
//!
//! The body of an executed request is the request id and a line feed, followed by a filler that
//! brings the whole body to `test-answer-bytes`. Without that header, or if it is shorter than the
//! first line, the body is only the first line. Byte `i` of the filler, from 0, is
//! `b'a' + ((fnv1a64(request id) + i) % 26)`, where the sum does not overflow:
//! `((fnv1a64(request id) % 26) + (i % 26)) % 26`. The content-length is the length of the whole
//! body. Large bodies are produced while they are sent.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Length of the filler's period.
const PERIOD: u64 = 26;
/// Largest piece in which the filler is produced.
const PIECE_BYTES: u64 = 16 * 1024;

/// FNV-1a 64 over bytes that arrive in pieces.
#[derive(Clone, Copy, Debug)]
pub struct Checksum(u64);

impl Default for Checksum {
    fn default() -> Self {
        Self(FNV_OFFSET)
    }
}

impl Checksum {
    /// Adds bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Returns the checksum.
    pub fn value(self) -> u64 {
        self.0
    }
}

/// An answer body.
#[derive(Debug)]
pub struct Answer {
    head: Bytes,
    phase: u64,
    filler: u64,
}

impl Answer {
    /// Makes a body of given text.
    pub fn text(text: String) -> Self {
        Self { head: text.into(), phase: 0, filler: 0 }
    }

    /// Makes the body of an executed request with a total length.
    pub fn request(id: &str, length: u64) -> Self {
        let mut checksum = Checksum::default();
        checksum.update(id.as_bytes());
        let head = Bytes::from(format!("{id}\n"));
        let line = u64::try_from(head.len()).unwrap_or(u64::MAX);
        Self { head, phase: checksum.value() % PERIOD, filler: length.saturating_sub(line) }
    }

    fn piece(&mut self) -> Bytes {
        let length = self.filler.min(PIECE_BYTES);
        let mut piece = BytesMut::new();
        piece.extend((0..length).map(|i| {
            let letter = u8::try_from((self.phase + i) % PERIOD).unwrap_or(0);
            b'a' + letter
        }));
        self.phase = (self.phase + length) % PERIOD;
        self.filler -= length;
        piece.freeze()
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = if self.head.is_empty() { self.piece() } else { std::mem::take(&mut self.head) };
        Poll::Ready((!data.is_empty()).then(|| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.head.is_empty() && self.filler == 0
    }

    fn size_hint(&self) -> SizeHint {
        let head = u64::try_from(self.head.len()).unwrap_or(u64::MAX);
        SizeHint::with_exact(head.saturating_add(self.filler))
    }
}
