//! Callers.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Header fields with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl Response {
    /// Returns the value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub struct Caller {
    stream: BufReader<TcpStream>,
}

impl Caller {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    /// Sends a request without waiting for its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        attempt: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<()> {
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nhost: Shop.Example:80\r\n\
             carawayscale-attempt-id: {attempt}\r\n"
        );
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if method == "POST" {
            text.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        text.push_str(body);
        self.stream.get_mut().write_all(text.as_bytes())
    }

    /// Reads the next response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the response does.
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
        let mut body = Vec::new();
        if let Some(length) = response.header("content-length") {
            body = vec![0; length.parse().unwrap_or(0)];
            self.stream.read_exact(&mut body)?;
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
                body.extend_from_slice(chunk.get(..size).unwrap_or_default());
            }
        }
        response.body = String::from_utf8(body).map_err(io::Error::other)?;
        Ok(response)
    }

    /// Sends a request and reads its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the response does.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        attempt: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<Response> {
        let body = if method == "POST" { "order" } else { "" };
        self.send(method, path, attempt, headers, body)?;
        self.receive()
    }
}
