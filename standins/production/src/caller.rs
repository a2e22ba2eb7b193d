//! Blocking HTTP/1.1 client for tests.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// A response with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code; 0 if the status line could not be parsed.
    pub status: u16,
    /// Header fields in order of arrival, with lowercase names.
    pub headers: Vec<(String, String)>,
    /// Body without its framing.
    pub body: String,
}

impl Response {
    /// Returns the first value of the header field `name`, which must be lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut matching = self.headers.iter().filter(|(field, _)| field == name);
        matching.next().map(|(_, value)| value.as_str())
    }
}

/// A client connection to an instance.
#[derive(Debug)]
pub struct Caller {
    stream: BufReader<TcpStream>,
}

impl Caller {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not established within one second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    /// Opens a connection from a local address, such as another loopback address.
    ///
    /// # Errors
    ///
    /// Fails like [`Caller::open`], or if the local address cannot be used.
    pub fn open_from(source: IpAddr, address: SocketAddr) -> io::Result<Self> {
        let domain = Domain::for_address(address);
        let socket = Socket::new(domain, Type::STREAM, None)?;
        socket.bind(&SocketAddr::new(source, 0).into())?;
        socket.connect_timeout(&address.into(), Duration::from_secs(1))?;
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    /// Sends a request without waiting for its response. `attempt` is the id of the attempt.
    /// A `content-length` is sent for POST only.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be written.
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

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// Fails if the bytes cannot be written.
    pub fn send_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Reads the next response.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes or stays silent for 10 seconds before the response is complete.
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
    /// Fails if the request cannot be written or the connection closes before the response is complete.
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
