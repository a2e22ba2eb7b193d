//! Request bodies: held once, in pieces that are written to the target as they are.

use bytes::BufMut;
use bytes::BytesMut;
use tokio::net::TcpStream;

use caraway_core::shard::Hasher;

/// Largest piece of a body. Larger allocations would be returned to the system and cleared again each time.
const PIECE_BYTES: usize = 64 << 10;

/// First piece of a body whose length is not known.
const FIRST_PIECE_BYTES: usize = 2 << 10;

/// A request body in pieces.
#[derive(Debug, Default)]
pub struct Body {
    pieces: Vec<BytesMut>,
    length: usize,
    hasher: Hasher,
}

impl Body {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the hash of all bytes.
    pub fn hash(&self) -> u64 {
        self.hasher.finish()
    }

    /// Returns the pieces in order.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(|piece| &**piece)
    }

    /// Returns all bytes in one piece.
    pub fn joined(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.length);
        for piece in self.pieces {
            bytes.extend_from_slice(&piece);
        }
        bytes
    }

    /// Returns the number of bytes that fit into the last piece.
    pub fn room(&self) -> usize {
        self.pieces.last().map_or(0, |piece| piece.capacity() - piece.len())
    }

    /// Returns the size of the next piece, where `left` is the number of bytes that are still to come, if known.
    pub fn next_piece(&self, left: Option<usize>) -> usize {
        match left {
            Some(left) => left.min(PIECE_BYTES),
            None => self.length.clamp(FIRST_PIECE_BYTES, PIECE_BYTES),
        }
    }

    /// Adds an empty piece.
    pub fn add_piece(&mut self, capacity: usize) {
        self.pieces.push(BytesMut::with_capacity(capacity));
    }

    /// Reads up to `limit` bytes into the last piece.
    ///
    /// # Errors
    ///
    /// Fails like the read; [`std::io::ErrorKind::WouldBlock`] if nothing has arrived.
    pub fn read_from(&mut self, stream: &TcpStream, limit: usize) -> std::io::Result<usize> {
        let limit = limit.min(self.room());
        let Some(piece) = self.pieces.last_mut() else { return Ok(0) };
        let before = piece.len();
        let size = stream.try_read_buf(&mut (&mut *piece).limit(limit))?;
        self.hasher.update(piece.get(before..).unwrap_or_default());
        self.length += size;
        Ok(size)
    }

    /// Adds bytes to the last piece, as many as fit. Returns their number.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let size = bytes.len().min(self.room());
        if let (Some(piece), Some(bytes)) = (self.pieces.last_mut(), bytes.get(..size)) {
            piece.extend_from_slice(bytes);
            self.hasher.update(bytes);
            self.length += size;
        }
        size
    }
}
