//! Test fixture that runs the target binary and sends requests to it.

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
use ureq::http::HeaderMap;

/// A running target process, which is killed on drop.
pub struct Target {
    child: Child,
    pub address: String,
    agent: Agent,
    /// Keeps the pipe open, because the target fails to write its log to a closed pipe.
    _log: BufReader<ChildStderr>,
}

/// A response.
pub struct Response {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(|value| value.to_str().unwrap())
    }

    /// Returns the status and the refusal header.
    pub fn refusal(&self) -> (u16, Option<&str>) {
        (self.status, self.header("caraway-refused"))
    }
}

impl Target {
    /// Starts a target on a free port with additional flags.
    pub fn start(flags: &[&str]) -> Self {
        let port = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
        let mut attempts = (0..20).map(|_| Self::start_at(&format!("127.0.0.1:{}", port()), flags));
        attempts.find_map(|target| target).expect("no free port in 20 attempts")
    }

    /// Starts a target that does not check tokens.
    pub fn unchecked(flags: &[&str]) -> Self {
        Self::start(&[&["--check-token", "false"], flags].concat())
    }

    /// Starts a target on an address. Returns `None` if the address is in use.
    pub fn start_at(address: &str, flags: &[&str]) -> Option<Self> {
        let mut child = Command::new(env!("CARGO_BIN_EXE_caraway-target"))
            .args(["--name", "t-1", "--service", "s", "--address", address, "--service-ms", "0"])
            .args(flags)
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
        Some(Self { child, address: address.to_owned(), agent: config.into(), _log: log })
    }

    /// Sends a request or a control call. Returns an error if there was no response.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Response, ureq::Error> {
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let mut response = self.agent.run(request.body(body.to_vec()).unwrap())?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response.body_mut().with_config().limit(1 << 30).read_to_vec()?;
        Ok(Response { status, headers, body })
    }

    pub fn control(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let response = self.send(method, path, &[], body.as_bytes()).unwrap();
        (response.status, serde_json::from_slice(&response.body).unwrap())
    }

    pub fn status(&self) -> Value {
        self.control("GET", "/control/status", &Value::Null).1
    }

    pub fn now_ms(&self) -> u64 {
        number(&self.status()["now_ms"])
    }

    pub fn journal(&self) -> Vec<Value> {
        let journal = self.control("GET", "/control/journal", &Value::Null).1;
        journal.as_array().unwrap().clone()
    }

    pub fn summary(&self) -> Value {
        self.control("GET", "/control/journal/summary", &Value::Null).1
    }

    pub fn fault(&self, fault: &Value) {
        assert_eq!(self.control("POST", "/control/fault", fault).0, 200);
    }

    /// Sends a grant that expires after `valid_ms` milliseconds, and returns the response status.
    pub fn grant(&self, (term, seq): (u64, u64), valid_ms: u64, shards: Value) -> u16 {
        let grant = json!({ "group": "s/med/0", "term": term, "seq": seq,
            "valid_until_ms": self.now_ms() + valid_ms, "shards": shards, "keys": null });
        self.control("POST", "/control/grant", &grant).0
    }

    /// Sends a request with a token, a shard and additional headers.
    pub fn request(&self, token: &str, shard: &str, headers: &[(&str, &str)]) -> Response {
        self.try_request(token, shard, headers).unwrap()
    }

    pub fn try_request(
        &self,
        token: &str,
        shard: &str,
        headers: &[(&str, &str)],
    ) -> Result<Response, ureq::Error> {
        let mut all = vec![("caraway-token", token), ("caraway-shard", shard)];
        if !headers.iter().any(|(name, _)| *name == "caraway-request-id") {
            all.push(("caraway-request-id", "r"));
        }
        all.extend_from_slice(headers);
        self.send("GET", "/s/k", &all, b"")
    }

    /// Waits until a field of the target's status has a value.
    pub fn await_status(&self, name: &str, value: &Value) {
        poll(|| (self.status()[name] == *value).then_some(()));
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        poll(|| self.child.try_wait().unwrap())
    }
}

/// Polls for a result, and panics after 10 s without one.
fn poll<T>(mut check: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        match check() {
            Some(result) => return result,
            None => assert!(Instant::now() < end, "the target did not reach the expected state"),
        }
        thread::sleep(Duration::from_millis(2));
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn number(value: &Value) -> u64 {
    value.as_u64().unwrap()
}
