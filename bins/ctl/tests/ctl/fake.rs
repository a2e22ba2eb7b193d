//! Fakes of the store and of the admin interface of an entry instance.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;

use serde_json::Value;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// An HTTP server on a thread, stopped when the value is dropped.
pub struct Fake {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl Fake {
    fn start(mut handle: impl FnMut(Request) + Send + 'static) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let requests = Arc::clone(&server);
        let thread = std::thread::spawn(move || {
            for request in requests.incoming_requests() {
                handle(request);
            }
        });
        Self { server, thread: Some(thread) }
    }

    pub fn address(&self) -> String {
        self.server.server_addr().to_string()
    }

    /// Serves fixed responses by path, and status 404 for all other paths.
    pub fn admin(responses: &[(&str, Value)]) -> Self {
        let responses: HashMap<String, Value> =
            responses.iter().map(|(path, body)| ((*path).to_owned(), body.clone())).collect();
        Self::start(move |request| match responses.get(request.url()) {
            Some(body) => respond(request, 200, body),
            None => respond(request, 404, &json!({"problem": "unknown"})),
        })
    }

    /// Accepts requests and never responds.
    pub fn silent() -> Self {
        let mut held = Vec::new();
        Self::start(move |request| held.push(request.into_writer()))
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

fn respond(request: Request, status: u16, body: &Value) {
    let _ = request.respond(Response::from_string(body.to_string()).with_status_code(status));
}

/// Fault that is injected into a write.
#[derive(Clone, Copy)]
pub enum Fault {
    /// The write is applied, but its response is lost.
    LoseResponse,
    /// The write is not applied and gets no response.
    DropRequest,
    /// Another write is applied first.
    ConflictBefore,
    /// The write is applied, its response is lost, and another write follows.
    LoseResponseThenReplace,
}

#[derive(Default)]
struct State {
    values: HashMap<String, (String, u64)>,
    revision: u64,
    faults: VecDeque<Fault>,
    writes: usize,
}

/// A fake store with compare-and-swap.
pub struct Store {
    fake: Fake,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(State { revision: 40, ..State::default() }));
        let shared = Arc::clone(&state);
        let fake = Fake::start(move |request| shared.lock().unwrap().handle(request));
        Self { fake, state }
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.fake.address())
    }

    pub fn inject(&self, faults: &[Fault]) {
        self.state.lock().unwrap().faults.extend(faults);
    }

    /// Returns value and revision of a key.
    pub fn value(&self, key: &str) -> Option<(Value, u64)> {
        let state = self.state.lock().unwrap();
        let (text, revision) = state.values.get(key)?;
        Some((serde_json::from_str(text).unwrap(), *revision))
    }

    pub fn set(&self, key: &str, value: &Value) -> u64 {
        self.state.lock().unwrap().write(key, &value.to_string())
    }

    /// Returns how many writes were received.
    pub fn writes(&self) -> usize {
        self.state.lock().unwrap().writes
    }
}

impl State {
    fn handle(&mut self, mut request: Request) {
        if let Some(prefix) = request.url().strip_prefix("/v1/watch/") {
            let prefix = prefix.split('?').next().unwrap().to_owned();
            let found = self.values.iter().filter(|(key, _)| key.starts_with(&prefix));
            let changes: Vec<_> = found
                .map(|(key, (value, revision))| json!({"key": key, "value": value, "revision": revision}))
                .collect();
            respond(request, 200, &json!({"revision": self.revision, "changes": changes}));
            return;
        }
        let key = request.url().strip_prefix("/v1/kv/").unwrap().to_owned();
        if *request.method() == Method::Get {
            match self.values.get(&key) {
                Some((value, revision)) => {
                    respond(
                        request,
                        200,
                        &json!({"key": key, "value": value, "revision": revision}),
                    );
                }
                None => respond(request, 404, &json!({})),
            }
            return;
        }
        let body: Value = serde_json::from_reader(request.as_reader()).unwrap();
        let fault = self.faults.pop_front();
        self.writes += 1;
        if matches!(fault, Some(Fault::ConflictBefore)) {
            self.write_other(&key);
        }
        if matches!(fault, Some(Fault::DropRequest)) {
            send_garbage(request);
            return;
        }
        let found = self.values.get(&key).map_or(0, |(_, revision)| *revision);
        let accepted = body["expect"] == found;
        if accepted {
            self.write(&key, body["value"].as_str().unwrap());
        }
        if matches!(fault, Some(Fault::LoseResponseThenReplace)) {
            self.write_other(&key);
        }
        match fault {
            Some(Fault::LoseResponse | Fault::LoseResponseThenReplace) => send_garbage(request),
            _ if accepted => respond(request, 200, &json!({"revision": self.revision})),
            _ => respond(request, 409, &json!({"revision": found})),
        }
    }

    fn write(&mut self, key: &str, text: &str) -> u64 {
        self.revision += 1;
        self.values.insert(key.to_owned(), (text.to_owned(), self.revision));
        self.revision
    }

    fn write_other(&mut self, key: &str) {
        self.write(key, &json!({"write_id": "other-operator", "document": {}}).to_string());
    }
}

/// Responds with bytes that are not an HTTP response, which the client treats as a lost response.
fn send_garbage(request: Request) {
    let mut writer = request.into_writer();
    let _ = writer.write_all(b"\0\r\n\r\n");
    let _ = writer.flush();
}
