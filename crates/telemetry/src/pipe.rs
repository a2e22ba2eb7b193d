//! Output that never blocks its writers.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;

/// Lines that wait for a slow reader. More are dropped and counted: a line has about 300 bytes, so
/// this bounds the memory to some 150 KB.
const LINES: usize = 512;

/// Stack of the thread that writes; it only copies bytes.
const STACK_BYTES: usize = 64 << 10;

/// Number of lines that were dropped because the reader was too slow.
#[derive(Clone, Debug, Default)]
pub struct Dropped(Arc<AtomicU64>);

impl Dropped {
    /// Returns the number of dropped lines since the start.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Writer that hands whole lines to a thread.
#[derive(Debug)]
pub struct Pipe {
    line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
    dropped: Dropped,
}

impl Pipe {
    /// Starts the thread that writes to `output`. The thread ends when the pipe is dropped.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(
        output: impl Write + Send + 'static,
    ) -> io::Result<(Self, Dropped, JoinHandle<()>)> {
        let (lines, waiting) = sync_channel(LINES);
        let builder = thread::Builder::new().name("log".to_owned()).stack_size(STACK_BYTES);
        let thread = builder.spawn(move || copy(&waiting, output))?;
        let dropped = Dropped::default();
        Ok((Self { line: Vec::new(), lines, dropped: dropped.clone() }, dropped, thread))
    }
}

fn copy(waiting: &Receiver<Vec<u8>>, mut output: impl Write) {
    for line in waiting {
        if output.write_all(&line).and_then(|()| output.flush()).is_err() {
            // The reader is gone for good; there is nowhere left to report it.
            return;
        }
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return Ok(());
        }
        let line = std::mem::take(&mut self.line);
        if self.lines.try_send(line).is_err() {
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
