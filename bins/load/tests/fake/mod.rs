//! An HTTP/1.1 server whose answers a test decides byte by byte.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;

use caraway_load::body::fnv1a64;

/// A request as the fake saw it.
pub struct Seen {
    pub id: String,
    pub order: Option<String>,
}

/// Makes an answer: the bytes to send, and whether the connection stays open.
pub type Script = dyn Fn(&Seen) -> (Vec<u8>, bool) + Send + Sync;

/// Starts a fake. Its threads end with the test process.
pub fn start(script: Arc<Script>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = Arc::clone(&script);
            std::thread::spawn(move || serve(stream, &*script));
        }
    });
    address
}

fn serve(mut stream: TcpStream, script: &Script) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    loop {
        let mut seen = Seen { id: String::new(), order: None };
        let mut length = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            if line.trim().is_empty() {
                break;
            }
            let (name, value) = line.trim().split_once(": ").unwrap_or(("", ""));
            match name {
                "caraway-request-id" => seen.id = value.to_owned(),
                "idempotency-key" => seen.order = Some(value.to_owned()),
                "content-length" => length = value.parse().unwrap(),
                _ => {}
            }
        }
        reader.read_exact(&mut vec![0; length]).unwrap();
        let (bytes, keep) = script(&seen);
        if stream.write_all(&bytes).is_err() || !keep {
            return;
        }
    }
}

/// Returns the body of the formula, written independently of the checker.
pub fn body(id: &str, size: usize) -> Vec<u8> {
    let mut body = format!("{id}\n").into_bytes();
    let start = fnv1a64(id.as_bytes());
    for i in 0..size.saturating_sub(body.len()) as u64 {
        body.push(b'a' + (start.wrapping_add(i) % 26) as u8);
    }
    body
}

/// Returns an answer with a declared length and the given headers.
pub fn answer(status: u16, id: &str, headers: &str, declared: usize, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\ncaraway-request-id: {id}\r\n{headers}content-length: {declared}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Returns a correct answer.
pub fn good(id: &str, size: usize) -> Vec<u8> {
    let body = body(id, size);
    answer(200, id, "caraway-outcome: answered\r\n", body.len(), &body)
}
