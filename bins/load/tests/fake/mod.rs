//! An HTTP/1.1 server whose responses a test supplies as raw bytes.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;

use caraway_load::body::fnv1a64;

/// Identifiers in the head of a received request.
pub struct Head {
    pub id: String,
    pub idempotency_key: Option<String>,
}

/// Returns the bytes of a response and whether the connection stays open.
pub type Script = dyn Fn(&Head) -> (Vec<u8>, bool) + Send + Sync;

/// Starts a server, whose threads run until the test process exits.
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
        let mut head = Head { id: String::new(), idempotency_key: None };
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
                "caraway-request-id" => head.id = value.to_owned(),
                "idempotency-key" => head.idempotency_key = Some(value.to_owned()),
                "content-length" => length = value.parse().unwrap(),
                _ => {}
            }
        }
        reader.read_exact(&mut vec![0; length]).unwrap();
        let (bytes, keep) = script(&head);
        if stream.write_all(&bytes).is_err() || !keep {
            return;
        }
    }
}

/// Returns the expected body for a request id, with an implementation independent of the checker.
pub fn body(id: &str, size: usize) -> Vec<u8> {
    let mut body = format!("{id}\n").into_bytes();
    let start = fnv1a64(id.as_bytes());
    for index in 0..size.saturating_sub(body.len()) as u64 {
        body.push(b'a' + (start.wrapping_add(index) % 26) as u8);
    }
    body
}

/// Returns a response with the given headers and content length.
pub fn response(
    status: u16,
    id: &str,
    headers: &str,
    content_length: usize,
    body: &[u8],
) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\ncaraway-request-id: {id}\r\n{headers}content-length: {content_length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Returns a valid response.
pub fn valid(id: &str, size: usize) -> Vec<u8> {
    let body = body(id, size);
    response(200, id, "caraway-outcome: answered\r\n", body.len(), &body)
}
