//! Record of a run: what was sent, answered and executed, with times since its start.

use std::fs::File;
use std::io;
use std::io::LineWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// A record file. Lines are written in the order of their times.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<LineWriter<File>>,
}

impl Record {
    /// Creates the record file, replacing an earlier one.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Mutex::new(LineWriter::new(File::create(path)?));
        Ok(Self { started: Instant::now(), file })
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the time in seconds.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = self.elapsed().as_secs_f64();
        // The verdict does not depend on the record.
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn announce(&self, text: &str) {
        println!("{:9.3} {text}", self.elapsed().as_secs_f64());
        self.line(text);
    }
}
