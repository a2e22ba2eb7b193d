//! Response bodies and checksums.
//!
//! The body of an executed request is a line with the request id, followed by a filler up to the total length
//! of `test-answer-bytes`. Without this header, or if the length is shorter than the line, the body consists
//! of the line only. Byte `i` of the filler, counted from 0, is `b'a' + ((fnv1a64(request id) + i) % 26)`,
//! computed without overflow as `((fnv1a64(request id) % 26) + (i % 26)) % 26`. The content-length is the
//! length of the complete body. Large bodies are generated while they are sent.

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
/// Period of the filler in bytes.
const FILLER_PERIOD: u64 = 26;
/// Maximum length of a generated chunk of the filler.
const CHUNK_BYTES: u64 = 16 * 1024;

/// Incremental 64-bit FNV-1a checksum.
#[derive(Clone, Copy, Debug)]
pub struct Checksum(u64);

impl Default for Checksum {
    fn default() -> Self {
        Self(FNV_OFFSET)
    }
}

impl Checksum {
    /// Adds bytes to the checksum.
    pub fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Returns the checksum of all added bytes.
    pub fn value(self) -> u64 {
        self.0
    }
}

/// A response body: a prefix followed by a filler.
#[derive(Debug)]
pub struct Payload {
    prefix: Bytes,
    filler_offset: u64,
    filler_bytes: u64,
}

impl Payload {
    /// Creates a body from text.
    pub fn text(text: String) -> Self {
        Self { prefix: text.into(), filler_offset: 0, filler_bytes: 0 }
    }

    /// Creates the body of an executed request with a total length in bytes.
    pub fn request(id: &str, length: u64) -> Self {
        let mut checksum = Checksum::default();
        checksum.update(id.as_bytes());
        let prefix = Bytes::from(format!("{id}\n"));
        let prefix_bytes = u64::try_from(prefix.len()).unwrap_or(u64::MAX);
        Self {
            prefix,
            filler_offset: checksum.value() % FILLER_PERIOD,
            filler_bytes: length.saturating_sub(prefix_bytes),
        }
    }

    fn next_chunk(&mut self) -> Bytes {
        let length = self.filler_bytes.min(CHUNK_BYTES);
        let mut chunk = BytesMut::new();
        chunk.extend((0..length).map(|i| {
            let letter = u8::try_from((self.filler_offset + i) % FILLER_PERIOD).unwrap_or(0);
            b'a' + letter
        }));
        self.filler_offset = (self.filler_offset + length) % FILLER_PERIOD;
        self.filler_bytes -= length;
        chunk.freeze()
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = if self.prefix.is_empty() {
            self.next_chunk()
        } else {
            std::mem::take(&mut self.prefix)
        };
        Poll::Ready((!data.is_empty()).then(|| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.filler_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_bytes = u64::try_from(self.prefix.len()).unwrap_or(u64::MAX);
        SizeHint::with_exact(prefix_bytes.saturating_add(self.filler_bytes))
    }
}
