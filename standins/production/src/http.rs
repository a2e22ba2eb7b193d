//! Minimal HTTP/1.1 server side of the stand-ins.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

use percent_encoding::percent_decode_str;

/// A request with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method as received.
    pub method: String,
    /// Request target: path and query.
    pub path: String,
    /// Header fields in order of arrival, with lowercase names.
    pub headers: Vec<(String, String)>,
    /// Body of the length that `content-length` states.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the first value of the header field `name`, which must be lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut matching = self.headers.iter().filter(|(field, _)| field == name);
        matching.next().map(|(_, value)| value.as_str())
    }

    /// Returns the first value of a query parameter, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.path.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(field, _)| *field == name)?;
        Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
    }
}

/// Reads the next request, or returns `None` if the client closed the connection between requests.
///
/// # Errors
///
/// Fails if the connection closes within a request.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let mut request = Request {
        method: words.next().unwrap_or_default().to_owned(),
        path: words.next().unwrap_or_default().to_owned(),
        ..Request::default()
    };
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        request.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = request.header("content-length").and_then(|text| text.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Encodes a response with a `content-length` header.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
