//! Responses of targets in trouble: bytes without an end, and copies of earlier refusals.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Longest time for which bytes are sent to a client that does not close the connection.
const MAX_TIME: Duration = Duration::from_secs(20);

/// Pause between the single bytes of a slow response.
const BYTE_INTERVAL: Duration = Duration::from_millis(2);

/// Pause between the single bytes of a response that hangs after a large beginning.
const HUNG_INTERVAL: Duration = Duration::from_millis(200);

/// Numbers of responses of each shape that are being sent.
static UNENDED: [AtomicUsize; SHAPES.len()] = [const { AtomicUsize::new(0) }; SHAPES.len()];

/// Returns the number of responses with a keyword that are being sent, in this process.
pub fn unended(keyword: &str) -> usize {
    let counts = SHAPES.iter().zip(&UNENDED);
    let matching = counts.filter(|(shape, _)| shape.keyword == keyword);
    matching.map(|(_, count)| count.load(Ordering::SeqCst)).sum()
}

/// A response without an end: a beginning, and a piece that follows it again and again.
struct Shape {
    keyword: &'static str,
    beginning: &'static str,
    piece: &'static str,
    /// Whether the piece is sent one byte at a time.
    slow: bool,
    /// Number of bytes that are sent at once between the beginning and the piece.
    filler: usize,
}

const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n";

const fn shape(keyword: &'static str, beginning: &'static str, piece: &'static str) -> Shape {
    Shape { keyword, beginning, piece, slow: false, filler: 0 }
}

const fn slow(keyword: &'static str, beginning: &'static str, filler: usize) -> Shape {
    Shape { keyword, beginning, piece: "HTTP/1.1 200 OK\r\nx: ", slow: true, filler }
}

/// All shapes. The id of the request and an empty line follow a beginning that is not empty.
const SHAPES: [Shape; 14] = [
    shape("endless-garbage", "", "xxxxxxxxxxxxxxxx"),
    shape("endless-interim", "", "HTTP/1.1 102 Processing\r\n\r\n"),
    shape("endless-line", "", "HTTP/1.1 200 OKOKOKOKOK"),
    shape("endless-fields", "", "HTTP/1.1 200 OK\r\nx-a: 1\r\nx-b: 2\r\nx-c: 3\r\nx-d: 4"),
    slow("endless-slow", "", 0),
    // Just below the size limit of a head, so that it is held until the deadline of its request.
    slow("endless-head", "", 31_000),
    // Just below the part of a body that is buffered.
    slow("endless-body", OK, 60_000),
    shape("endless-close", OK, "yyyyyyyyyyyyyyyy"),
    shape("endless-stream", OK, "zzzzzzzzzzzzzzzz"),
    shape("endless-chunks", CHUNKED, "4\r\nabcd\r\n"),
    shape("endless-size", CHUNKED, "0000000000000000"),
    shape("endless-extension", CHUNKED, "4;a=bbbbbbbbbbbb"),
    shape("endless-trailers", CHUNKED, "0\r\nx-a: 1\r\nx-b: 2\r\n"),
    shape("endless-surplus", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n", "abcdabcdabcd"),
];

/// Sends the response without an end that a path names, until the client closes the connection.
/// Returns `None` if the path names none.
pub fn send_unended(path: &str, attempt: &str, output: &mut TcpStream) -> Option<io::Result<()>> {
    let mut shapes = SHAPES.iter().zip(&UNENDED);
    let (shape, count) = shapes.find(|(shape, _)| path.contains(shape.keyword))?;
    count.fetch_add(1, Ordering::SeqCst);
    let result = send(shape, attempt, output);
    count.fetch_sub(1, Ordering::SeqCst);
    Some(result)
}

fn send(shape: &Shape, attempt: &str, output: &mut TcpStream) -> io::Result<()> {
    if !shape.beginning.is_empty() {
        let head = format!(
            "{}carawayscale-attempt-id: {attempt}\r\n\
             carawayscale-response-signature: proof\r\n\r\n",
            shape.beginning
        );
        output.write_all(head.as_bytes())?;
    }
    // Of a piece with several lines, the first is sent once and the others are repeated.
    let (mut first, mut rest) = ("", shape.piece);
    if shape.piece.starts_with("HTTP/1.1 200 OK\r\n") || shape.piece.starts_with("0\r\n") {
        let split = shape.piece.find('\n').map_or(0, |end| end + 1);
        (first, rest) = shape.piece.split_at(split);
    }
    output.write_all(first.as_bytes())?;
    if shape.filler > 0 {
        output.write_all(format!("x: {}", "a".repeat(shape.filler)).as_bytes())?;
    }
    // A filler is followed by few bytes, as from a target that hangs.
    let interval = if shape.filler > 0 { HUNG_INTERVAL } else { BYTE_INTERVAL };
    let repeated = match shape.slow {
        true => rest.to_owned(),
        false => rest.repeat(512),
    };
    let end = Instant::now() + MAX_TIME;
    while Instant::now() < end {
        if shape.slow {
            for byte in repeated.as_bytes() {
                output.write_all(&[*byte])?;
                thread::sleep(interval);
            }
        } else {
            output.write_all(repeated.as_bytes())?;
        }
    }
    Ok(())
}
