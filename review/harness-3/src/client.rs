//! Blocking HTTP/1.1 client.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::deployment::HOST;

/// A response with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code, or zero if the status line is invalid.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// Body without its framing.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of a header field, whose name must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// A connection to an instance.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    /// Encodes a request.
    pub fn encode(
        method: &str,
        path: &str,
        attempt: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Vec<u8> {
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n");
        if !attempt.is_empty() {
            text.push_str(&format!("Carawayscale-Attempt-Id: {attempt}\r\n"));
        }
        for (name, value) in fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Reads the next response.
    pub fn receive(&mut self) -> io::Result<Response> {
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line.split_whitespace().nth(1).and_then(|text| text.parse().ok());
        let mut response = Response { status: status.unwrap_or(0), ..Response::default() };
        loop {
            let mut line = String::new();
            if self.stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            response.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        if let Some(length) = response.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            response.body = vec![0; length];
            self.stream.read_exact(&mut response.body)?;
        } else if response.header("transfer-encoding").is_some() {
            loop {
                let mut line = String::new();
                self.stream.read_line(&mut line)?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                let mut chunk = vec![0; size + 2];
                self.stream.read_exact(&mut chunk)?;
                if size == 0 {
                    break;
                }
                response.body.extend_from_slice(chunk.get(..size).unwrap_or_default());
            }
        }
        Ok(response)
    }

    /// Sends a request and reads its response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        attempt: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Response> {
        self.send(&Self::encode(method, path, attempt, fields, body))?;
        self.receive()
    }
}
