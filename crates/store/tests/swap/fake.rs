//! A fake store with one key whose writes fail as planned.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use caraway_store::client::Client;
use caraway_store::client::Options;

/// Fault of one write.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// The write is handled normally.
    None,
    /// The write is applied and its response is lost.
    Lose,
    /// The write is not applied and gets no response.
    Drop,
    /// Another write is applied just before this one.
    Race,
    /// The write is applied, its response is lost, and another write follows.
    LoseThenRace,
    /// The write is not applied and gets a response with this status.
    Status(u16),
    /// The write is not applied, and no later call gets a response.
    Down,
}

#[derive(Default)]
pub struct State {
    /// Value of the only key.
    pub value: Option<String>,
    pub revision: u64,
    pub faults: VecDeque<Fault>,
    pub reads: usize,
    pub writes: usize,
    down: bool,
}

/// The server with its thread, which ends when the value is dropped.
pub struct Fake {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
    pub state: Arc<Mutex<State>>,
}

impl Fake {
    pub fn start(faults: &[Fault]) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let faults = faults.iter().copied().collect();
        let state = Arc::new(Mutex::new(State { faults, revision: 10, ..State::default() }));
        let (requests, shared) = (Arc::clone(&server), Arc::clone(&state));
        let thread = std::thread::spawn(move || {
            for request in requests.incoming_requests() {
                shared.lock().unwrap().handle(request);
            }
        });
        Self { server, thread: Some(thread), state }
    }

    pub fn client(&self) -> Client {
        client(&self.server.server_addr().to_string())
    }

    /// Returns the number of reads and writes.
    pub fn calls(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        (state.reads, state.writes)
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

pub fn client(address: &str) -> Client {
    let timeout = Duration::from_secs(2);
    Client::new(Options { base_url: format!("http://{address}"), domain: "med".into(), timeout })
}

impl State {
    fn handle(&mut self, mut request: Request) {
        if *request.method() == Method::Get {
            self.reads += 1;
            match (&self.value, self.down) {
                (_, true) => send_garbage(request),
                (Some(value), false) => respond(
                    request,
                    200,
                    &json!({"key": "k", "value": value, "revision": self.revision}),
                ),
                (None, false) => respond(request, 404, &json!({})),
            }
            return;
        }
        self.writes += 1;
        let body: Value = serde_json::from_reader(request.as_reader()).unwrap();
        let fault = self.faults.pop_front().unwrap_or(Fault::None);
        self.down |= fault == Fault::Down;
        if fault == Fault::Race {
            self.race();
        }
        let current = self.value.as_ref().map_or(0, |_| self.revision);
        let applies = !matches!(fault, Fault::Drop | Fault::Down | Fault::Status(_));
        let accepted = applies && body["expect"] == current;
        if accepted {
            self.write(body["value"].as_str().unwrap());
        }
        if fault == Fault::LoseThenRace {
            self.race();
        }
        match fault {
            Fault::Status(status) => respond(request, status, &json!({})),
            Fault::None | Fault::Race if accepted => {
                respond(request, 200, &json!({"revision": self.revision}));
            }
            Fault::None | Fault::Race => respond(request, 409, &json!({"revision": current})),
            Fault::Lose | Fault::LoseThenRace | Fault::Drop | Fault::Down => send_garbage(request),
        }
    }

    fn write(&mut self, text: &str) {
        self.revision += 1;
        self.value = Some(text.to_owned());
    }

    fn race(&mut self) {
        let other = json!({"format": 1, "write_id": "other", "members": [], "groups": []});
        self.write(&other.to_string());
    }
}

fn respond(request: Request, status: u16, body: &Value) {
    let _ = request.respond(Response::from_string(body.to_string()).with_status_code(status));
}

/// Sends bytes that are not an HTTP response, which the client treats as a lost response.
fn send_garbage(request: Request) {
    let mut writer = request.into_writer();
    let _ = writer.write_all(b"\0\r\n\r\n");
    let _ = writer.flush();
}
