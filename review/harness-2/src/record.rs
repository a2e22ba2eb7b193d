//! Timeline of a run: what was sent, answered and executed.

use std::fs::File;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// A timeline that is written to a file. Its copies share the file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    /// Start of the timeline.
    pub started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    /// Writes a line with the current time.
    pub fn note(&self, line: &str) {
        self.note_at(Instant::now(), line);
    }

    /// Writes a line with a time.
    pub fn note_at(&self, at: Instant, line: &str) {
        let seconds = self.seconds(at);
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A line that cannot be written is missing in the record and changes no result.
        let _ = writeln!(file, "{seconds:9.4} {line}");
    }

    /// Returns the seconds from the start of the timeline.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}
