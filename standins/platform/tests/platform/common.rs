//! Test fixture that runs the platform binary and sends calls to it.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::indexing_slicing,
    reason = "a failure here fails the test"
)]

use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::process::Child;
use std::process::ChildStderr;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;
use ureq::Agent;

/// A running platform process, which is killed on drop.
pub struct Platform {
    child: Child,
    pub address: String,
    agent: Agent,
    /// Keeps the pipe open, because the platform fails to write its log to a closed pipe.
    _log: BufReader<ChildStderr>,
}

impl Platform {
    pub fn start() -> Self {
        let mut attempts = (0..20).map(|_| Self::try_start());
        attempts.find_map(|platform| platform).expect("no free port in 20 attempts")
    }

    /// Starts the platform on a free port. Returns `None` if another process has bound the port in the meantime.
    fn try_start() -> Option<Self> {
        let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
        let address = format!("127.0.0.1:{port}");
        let mut child = Command::new(env!("CARGO_BIN_EXE_caraway-platform"))
            .args(["--address", &address])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        if !line.contains("listening") {
            assert!(line.contains("in use"), "{line}");
            child.wait().unwrap();
            return None;
        }
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(20)))
            .build();
        Some(Self { child, address, agent: config.into(), _log: log })
    }

    /// Sends a call from a failure domain. Returns an error if there was no response.
    pub fn call_from(
        &self,
        domain: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<(u16, Value), ureq::Error> {
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("platform-domain", domain)
            .body(body.to_owned())
            .unwrap();
        let mut response = self.agent.run(request)?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string()?;
        Ok((status, serde_json::from_str(&text).unwrap_or(Value::Null)))
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, Value) {
        self.call_from("med", method, path, body).unwrap()
    }

    pub fn get(&self, path: &str) -> (u16, Value) {
        self.call("GET", path, "")
    }

    pub fn put(&self, key: &str, value: &str, expect: u64) -> (u16, Value) {
        let body = json!({ "value": value, "expect": expect }).to_string();
        self.call("PUT", &format!("/v1/kv/{key}"), &body)
    }

    pub fn fault(&self, fault: Value) {
        assert_eq!(self.call("POST", "/v1/fault", &fault.to_string()).0, 200);
    }

    pub fn count(&self, kind: &str) -> u64 {
        self.get("/v1/counts").1[kind].as_u64().unwrap_or(0)
    }

    /// Waits until the count of a kind of call has reached a value.
    pub fn await_count(&self, kind: &str, count: u64) {
        poll(|| (self.count(kind) >= count).then_some(()));
    }

    /// Sends SIGTERM and waits for the process to exit.
    pub fn terminate(&mut self) -> ExitStatus {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
        poll(|| self.child.try_wait().unwrap())
    }
}

/// Polls for a result, and panics after 10 s without one.
fn poll<T>(mut check: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        match check() {
            Some(result) => return result,
            None => assert!(Instant::now() < end, "the platform did not reach the expected state"),
        }
        thread::sleep(Duration::from_millis(2));
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
