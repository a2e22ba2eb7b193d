//! Write gate of a connection, which decides at the socket whether a request may be written.
//!
//! The HTTP library writes in a separate task, so the process can be paused between a check before
//! the request is handed over and the actual write. The gate is therefore checked directly before
//! the first write of each exchange, and it records whether that write took place.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;

/// No exchange is in progress; nothing may be written.
const CLOSED: u8 = 0;
/// An exchange is in progress and none of its bytes has been written.
const OPEN: u8 = 1;
/// A byte of the exchange may have been written.
const WRITTEN: u8 = 2;

/// State of a write gate.
#[derive(Debug, Default)]
pub struct Gate {
    clock: Clock,
    state: AtomicU8,
    /// Time before which the first byte must be written, in microseconds since boot.
    write_before: AtomicU64,
}

impl Gate {
    /// Opens the gate for one exchange, whose first byte must be written before the given time.
    pub fn open(&self, write_before: Stamp) {
        self.write_before.store(write_before.as_micros(), Ordering::SeqCst);
        self.state.store(OPEN, Ordering::SeqCst);
    }

    /// Closes the gate and returns true if a byte of the exchange may have been written.
    ///
    /// If it returns false, no byte was written and none will be.
    pub fn close(&self) -> bool {
        self.state.swap(CLOSED, Ordering::SeqCst) == WRITTEN
    }

    /// Closes the gate if no byte of the exchange has been written. Returns true if none was written
    /// and none will be, also if the gate was closed before.
    pub fn close_unwritten(&self) -> bool {
        let swapped = self.state.compare_exchange(OPEN, CLOSED, Ordering::SeqCst, Ordering::SeqCst);
        swapped != Err(WRITTEN)
    }

    /// Admits a write and returns true if it is the first of the exchange.
    ///
    /// # Errors
    ///
    /// Fails if the gate is closed or the time limit of the first write has passed.
    fn admit_write(&self) -> io::Result<bool> {
        if self.state.load(Ordering::SeqCst) == WRITTEN {
            return Ok(false);
        }
        if self.clock.now().as_micros() >= self.write_before.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        match self.state.compare_exchange(OPEN, WRITTEN, Ordering::SeqCst, Ordering::SeqCst) {
            Ok(_) => Ok(true),
            Err(_) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Undoes the admission of a first write that wrote nothing.
    fn revert(&self) {
        let _ = self.state.compare_exchange(WRITTEN, OPEN, Ordering::SeqCst, Ordering::SeqCst);
    }
}

/// A connection whose writes pass through a gate.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    gate: Arc<Gate>,
}

impl Stream {
    /// Makes a gated stream. Its gate is closed.
    pub fn new(inner: TcpStream) -> Self {
        Self { inner, gate: Arc::default() }
    }

    /// Returns the gate of the stream.
    pub fn gate(&self) -> Arc<Gate> {
        self.gate.clone()
    }

    fn poll_gated(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let first = self.gate.admit_write()?;
        let result = write(Pin::new(&mut self.inner));
        if first && !matches!(result, Poll::Ready(Ok(_))) {
            self.gate.revert();
        }
        result
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_gated(|inner| inner.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_gated(|inner| inner.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
