//! Non-blocking writer: a background thread writes the lines to the output.

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

/// Capacity of the queue in lines. Further lines are dropped and counted: at about 300 bytes a
/// line, the queue takes at most 150 KB.
const QUEUE_LINES: usize = 512;

/// Stack size of the background thread, which only copies bytes.
const STACK_BYTES: usize = 64 << 10;

/// Counter of the lines that were dropped because the queue was full.
#[derive(Clone, Debug, Default)]
pub struct Dropped(Arc<AtomicU64>);

impl Dropped {
    /// Returns the number of lines dropped since the writer was started.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Writer that queues each line for a background thread and never blocks the caller.
#[derive(Debug)]
pub struct Writer {
    line: Vec<u8>,
    queue: SyncSender<Vec<u8>>,
    dropped: Dropped,
}

impl Writer {
    /// Starts the thread that writes to `output`. The thread ends when the writer is dropped or
    /// `output` fails.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(
        output: impl Write + Send + 'static,
    ) -> io::Result<(Self, Dropped, JoinHandle<()>)> {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let builder = thread::Builder::new().name("log".to_owned()).stack_size(STACK_BYTES);
        let thread = builder.spawn(move || write_lines(&lines, output))?;
        let dropped = Dropped::default();
        Ok((Self { line: Vec::new(), queue, dropped: dropped.clone() }, dropped, thread))
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    for line in lines {
        if output.write_all(&line).and_then(|()| output.flush()).is_err() {
            // Log output cannot be written, so there is nowhere to report the failure.
            return;
        }
    }
}

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return Ok(());
        }
        let line = std::mem::take(&mut self.line);
        if self.queue.try_send(line).is_err() {
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
