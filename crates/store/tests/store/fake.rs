//! A fake store with one key, which fails calls by a script.

#![allow(clippy::unwrap_used, clippy::indexing_slicing, reason = "a failure here fails the test")]

use std::collections::VecDeque;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use caraway_store::client::Client;
use caraway_store::client::Options;

/// What happens to one call.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The call is applied and answered.
    Serve,
    /// The call is applied, and the connection is closed without an answer.
    LoseAnswer,
    /// The call is not applied, and the connection is closed without an answer.
    LoseCall,
    /// The call is applied after a time.
    Late(Duration),
    /// Another writer changes the record in this way before the call is applied.
    Overtake(fn(&mut Value)),
    /// The call is applied, another writer changes the record, and the answer is lost.
    LoseThenOvertake(fn(&mut Value)),
    /// The call is not applied, and is answered with a status and a body.
    Answer(u16, &'static str),
}

#[derive(Default)]
struct State {
    value: Option<String>,
    revision: u64,
    script: VecDeque<Step>,
    calls: Vec<String>,
}

/// The fake. Its thread ends with the test process.
#[derive(Clone)]
pub struct Fake {
    state: Arc<Mutex<State>>,
    pub address: String,
}

impl Fake {
    /// Starts a fake. Each call takes one step of the script; calls after it are served.
    pub fn start(script: &[Step]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = format!("http://{}", listener.local_addr().unwrap());
        let script = script.iter().cloned().collect();
        let state = Arc::new(Mutex::new(State { script, ..State::default() }));
        let fake = Self { state, address };
        let server = fake.clone();
        thread::spawn(move || {
            for connection in listener.incoming() {
                let server = server.clone();
                thread::spawn(move || server.serve(&connection.unwrap()));
            }
        });
        fake
    }

    pub fn client(&self) -> Client {
        let limit = Duration::from_millis(300);
        let options = Options { connect_timeout: limit, call_timeout: limit };
        Client::try_new(&self.address, "med".into(), options).unwrap()
    }

    pub fn record(&self) -> Value {
        serde_json::from_str(self.state.lock().unwrap().value.as_ref().unwrap()).unwrap()
    }

    pub fn set(&self, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.value = Some(value.to_owned());
        state.revision += 1;
    }

    /// Returns the calls received, each as method, path and domain header.
    pub fn calls(&self) -> Vec<String> {
        self.state.lock().unwrap().calls.clone()
    }

    fn serve(&self, mut connection: &TcpStream) {
        let mut reader = BufReader::new(connection);
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head).unwrap_or(0) == 0 {
                return;
            }
        }
        let header = |name| head.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("");
        let mut body = vec![0; header("content-length: ").parse().unwrap_or(0)];
        reader.read_exact(&mut body).unwrap();
        let line = head.lines().next().unwrap().trim_end_matches(" HTTP/1.1").to_owned();
        let put = line.starts_with("PUT");
        let step = {
            let mut state = self.state.lock().unwrap();
            state.calls.push(format!("{line} {}", header("platform-domain: ")));
            state.script.pop_front().unwrap_or(Step::Serve)
        };
        let apply = || Some(self.apply(put, &body));
        let answer = match step {
            Step::Serve => apply(),
            Step::LoseAnswer => apply().and(None),
            Step::LoseCall => None,
            Step::Late(time) => {
                thread::sleep(time);
                apply()
            }
            Step::Overtake(change) => self.overtake(change).or_else(apply),
            Step::LoseThenOvertake(change) => apply().and_then(|_| self.overtake(change)),
            Step::Answer(status, body) => Some((status, body.to_owned())),
        };
        if let Some((status, body)) = answer {
            let head =
                format!("HTTP/1.1 {status} x\r\nconnection: close\r\nlocation: /v1/kv/other");
            // A caller that gave up has closed its connection.
            let _ = write!(connection, "{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        }
    }

    /// Changes the record as another writer, and returns no answer.
    fn overtake(&self, change: fn(&mut Value)) -> Option<(u16, String)> {
        let mut record = self.record();
        change(&mut record);
        self.set(&record.to_string());
        None
    }

    fn apply(&self, put: bool, body: &[u8]) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        if !put {
            let entry = json!({ "key": "k", "value": state.value, "revision": state.revision });
            return if state.value.is_some() {
                (200, entry.to_string())
            } else {
                (404, "{}".into())
            };
        }
        let body: Value = serde_json::from_slice(body).unwrap();
        if body["expect"] != state.revision {
            return (409, json!({ "revision": state.revision }).to_string());
        }
        state.value = body["value"].as_str().map(str::to_owned);
        state.revision += 1;
        (200, json!({ "revision": state.revision }).to_string())
    }
}
