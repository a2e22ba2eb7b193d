//! A child process that can be signalled and is killed when its handle is dropped.

use std::fs::File;
use std::fs::OpenOptions;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::errors::Error;
use crate::errors::Result;

/// Interval between checks for the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of log lines in an error.
const LOG_TAIL_LINES: usize = 15;

/// A program with its arguments, and its child process while it runs.
///
/// Dropping the value kills and reaps the process.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    frozen: bool,
}

impl Process {
    /// Creates a handle without starting the process.
    pub fn new(name: &str, program: &Path, arguments: Vec<String>, log: PathBuf) -> Self {
        Self {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments,
            log,
            child: None,
            frozen: false,
        }
    }

    /// Starts the process, killing a previous one. Its output is appended to the log file.
    pub fn start(&mut self) -> Result<()> {
        self.kill();
        let open = || -> std::io::Result<(File, File)> {
            let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
            Ok((log.try_clone()?, log))
        };
        let (out, err) = open().map_err(|error| Error::io(&self.log.to_string_lossy(), error))?;
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|error| Error::io(&self.program.to_string_lossy(), error))?;
        self.child = Some(child);
        self.frozen = false;
        Ok(())
    }

    /// Returns the process ID while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns true if the process runs and is not stopped by [`Process::freeze`].
    pub fn is_responsive(&self) -> bool {
        self.child.is_some() && !self.frozen
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
        self.frozen = true;
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.frozen = false;
    }

    /// Sends SIGTERM, which starts a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGKILL and reaps the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both calls fail only if the process has exited and was reaped.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Reaps the process if it has exited and returns its status.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Waits until the process exits; returns `None` on timeout.
    pub fn wait_timeout(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.try_wait() {
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Returns an error with the end of the log if the process has exited.
    pub fn check_running(&mut self) -> Result<()> {
        match self.try_wait() {
            Some(status) => Err(Error::Exited {
                name: self.name.clone(),
                status: status.to_string(),
                log: self.log_tail(),
            }),
            None => Ok(()),
        }
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let skip = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines.into_iter().skip(skip).collect::<Vec<_>>().join("\n")
    }

    /// Sends a signal. The process ID cannot have been reused, because only this value reaps the child.
    fn signal(&self, signal: Signal) {
        let pid = self.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // Fails only if the process has exited, which `try_wait` reports.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
