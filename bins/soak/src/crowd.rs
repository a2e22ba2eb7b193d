//! Clients that misbehave beside the ordinary callers.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of clients.
pub const CLIENTS: usize = 6;

/// Number of connections that a client opens at a time.
const CONNECTIONS: usize = 4;

/// Time limit for opening a connection, and for each write.
const TIME_LIMIT: Duration = Duration::from_millis(500);

/// Longest time for which a client leaves its connections open after its last write.
const MAX_OPEN_TIME: Duration = Duration::from_secs(4);

/// Interval of checks whether the run ends.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stated size of the bodies that stop short; the instances accept 100,000 bytes.
const BODY_BYTES: usize = 90_000;

/// Largest number of pipelined requests on a connection.
const MAX_PIPELINED: usize = 64;

/// Longest pause between two bytes of a slow sender.
const MAX_BYTE_PAUSE: Duration = Duration::from_millis(20);

/// What a client does wrong.
#[derive(Clone, Copy, Debug)]
enum Shape {
    /// Sends a body without its last byte.
    ShortBody,
    /// Sends many requests and reads no response.
    Pipelined,
    /// Sends a request byte by byte.
    Slow,
}

/// Runs a client until the run ends.
pub fn run(seed: u64, instances: &[SocketAddr], stopping: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed);
    while !stopping.load(Ordering::SeqCst) {
        let shape = match random.random_range(0..3) {
            0 => Shape::ShortBody,
            1 => Shape::Pipelined,
            _ => Shape::Slow,
        };
        let Some(address) = instances.get(random.random_range(0..instances.len())) else { return };
        let open = |_| TcpStream::connect_timeout(address, TIME_LIMIT).ok();
        let mut streams: Vec<TcpStream> = (0..CONNECTIONS).filter_map(open).collect();
        for stream in &streams {
            // Without the limit, a client whose writes block would only end later.
            let _ = stream.set_write_timeout(Some(TIME_LIMIT));
        }
        send(&mut random, shape, &mut streams, stopping);
        let end = Instant::now() + MAX_OPEN_TIME.mul_f64(random.random());
        while Instant::now() < end && !stopping.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Sends the requests of a client on all its connections.
fn send(random: &mut StdRng, shape: Shape, streams: &mut [TcpStream], stopping: &AtomicBool) {
    match shape {
        Shape::ShortBody => {
            let path = if random.random() { "order" } else { "key" };
            let mut request = head("POST", path, &format!("content-length: {BODY_BYTES}\r\n"));
            request.resize(request.len() + BODY_BYTES - 1, b'x');
            write_all(streams, &request);
        }
        Shape::Pipelined => {
            let count = random.random_range(2..=MAX_PIPELINED);
            write_all(streams, &head("GET", "read", "").repeat(count));
        }
        Shape::Slow => {
            let pause = MAX_BYTE_PAUSE.mul_f64(random.random());
            for byte in head("GET", "key", "") {
                if stopping.load(Ordering::SeqCst) {
                    return;
                }
                write_all(streams, &[byte]);
                thread::sleep(pause);
            }
        }
    }
}

/// Writes the same bytes to all connections. Instances may close a connection at any time.
fn write_all(streams: &mut [TcpStream], bytes: &[u8]) {
    for stream in streams {
        let _ = stream.write_all(bytes);
    }
}

/// Returns the head of a request with further header lines. Its attempt id differs from those of the
/// ordinary callers.
fn head(method: &str, route: &str, lines: &str) -> Vec<u8> {
    format!(
        "{method} /{route}/wait-5 HTTP/1.1\r\nhost: shop.example\r\n\
         carawayscale-attempt-id: crowd\r\ncarawayscale-deadline-ms: 2000\r\n\
         carawayscale-shard-key: 9\r\n{lines}\r\n"
    )
    .into_bytes()
}
