//! Client side of HTTP/1.1: encodes requests and reads answers.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpStream;

/// Field that makes the head of a request as large as one with the usual cookies.
pub const COOKIE_BYTES: usize = 900;

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Whether the answer bears the signature of a server for this attempt.
    pub signed: bool,
    /// Whether the answer closes the connection.
    pub closes: bool,
    /// First word of the body: the id of the server that answered.
    pub server: String,
}

/// Encodes a GET request.
pub fn get(path: &str, attempt: &str, deadline_ms: u64, cookie_bytes: usize) -> String {
    let cookie = match cookie_bytes {
        0 => String::new(),
        bytes => format!("Cookie: session={}\r\n", "c".repeat(bytes)),
    };
    format!(
        "GET {path} HTTP/1.1\r\nHost: here.example\r\nCarawayscale-Attempt-Id: {attempt}\r\n\
         Carawayscale-Deadline-Ms: {deadline_ms}\r\n{cookie}\r\n"
    )
}

/// Encodes a POST request with a short body.
pub fn post(path: &str, attempt: &str, deadline_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: here.example\r\nCarawayscale-Attempt-Id: {attempt}\r\n\
         Carawayscale-Deadline-Ms: {deadline_ms}\r\nContent-Length: 5\r\n\r\norder"
    )
}

/// Reads a body of the given length.
pub type ReadBody<'a> = &'a mut dyn FnMut(&mut BufReader<TcpStream>, usize) -> io::Result<Vec<u8>>;

/// Reads the answer to an attempt.
pub fn read(
    input: &mut BufReader<TcpStream>,
    attempt: &str,
    read_body: ReadBody<'_>,
) -> io::Result<Answer> {
    let line = read_line(input)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::new(ErrorKind::InvalidData, line.clone()))?;
    let (mut length, mut signed, mut closes) = (0, false, false);
    loop {
        let line = read_line(input)?.to_ascii_lowercase();
        let Some((name, value)) = line.split_once(": ") else { break };
        match name {
            "content-length" => length = value.parse().map_err(io::Error::other)?,
            "carawayscale-response-signature" => signed = value.ends_with(&format!(".{attempt}")),
            "connection" => closes = value == "close",
            _ => {}
        }
    }
    let body = read_body(input, length)?;
    let text = String::from_utf8_lossy(&body);
    let server = text.split(' ').next().unwrap_or_default().to_owned();
    Ok(Answer { status, signed, closes, server })
}

/// Reads a body at once.
pub fn whole(input: &mut BufReader<TcpStream>, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok(body)
}

fn read_line(input: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}
