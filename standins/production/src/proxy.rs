//! Loopback TCP proxy that injects network faults: delay, blackholes, lost responses and resets.

use std::collections::HashMap;
use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Interval at which a blocked connection checks whether the link has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Read buffer size.
const CHUNK_BYTES: usize = 16 << 10;

/// State of the link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    /// Forwards all data.
    #[default]
    Open,
    /// Forwards all data after this delay.
    Slow(Duration),
    /// Forwards nothing and reports no error to either side. Buffered data is delivered when the
    /// link opens.
    Silent,
    /// Forwards requests and withholds responses.
    OneWay,
    /// Closes connections at once.
    Reset,
}

#[derive(Debug, Default)]
struct Shared {
    link: Mutex<Link>,
    /// Open connections by id, each with both of its sockets.
    streams: Mutex<HashMap<u64, [TcpStream; 2]>>,
    next_id: AtomicU64,
}

/// A proxy for one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    /// Address on which the proxy listens.
    pub address: SocketAddr,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    Request,
    Response,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proxy {
    /// Starts a proxy for `target` on a free loopback port. Its threads run until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                // Broken connections are expected: injecting them is the purpose of the proxy.
                thread::spawn(move || drop(connect(&shared, stream, target)));
            }
        });
        Ok(Self { shared, address })
    }

    /// Sets the state of the link. [`Link::Reset`] also closes the open connections.
    pub fn set_link(&self, link: Link) {
        *lock(&self.shared.link) = link;
        if link == Link::Reset {
            self.close_connections();
        }
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        for (_, streams) in lock(&self.shared.streams).drain() {
            for stream in streams {
                // Fails if the connection is already closed.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn connect(shared: &Arc<Shared>, caller: TcpStream, target: SocketAddr) -> io::Result<()> {
    while *lock(&shared.link) == Link::Silent {
        thread::sleep(POLL_INTERVAL);
    }
    if *lock(&shared.link) == Link::Reset {
        return caller.shutdown(Shutdown::Both);
    }
    let server = TcpStream::connect(target)?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let id = shared.next_id.fetch_add(1, Ordering::SeqCst);
    lock(&shared.streams).insert(id, [caller.try_clone()?, server.try_clone()?]);
    let (from, to) = (caller.try_clone()?, server.try_clone()?);
    let for_requests = shared.clone();
    let request_pump =
        thread::spawn(move || drop(pump(&for_requests, from, to, Direction::Request)));
    let result = pump(shared, server, caller, Direction::Response);
    // The other direction ends with the connection; a panic in it is not an error here.
    let _ = request_pump.join();
    lock(&shared.streams).remove(&id);
    result
}

fn pump(
    shared: &Shared,
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut buffer);
        let size = read.as_ref().copied().unwrap_or(0);
        let mut delayed = false;
        loop {
            let link = *lock(&shared.link);
            match link {
                Link::Slow(delay) if !delayed => {
                    delayed = true;
                    thread::sleep(delay);
                    continue;
                }
                Link::Silent => {}
                Link::OneWay if direction == Direction::Response => {}
                Link::Open | Link::Slow(_) | Link::OneWay | Link::Reset => break,
            }
            if size == 0 {
                thread::sleep(POLL_INTERVAL);
            } else if closed_by_peer(&from)? {
                // The sender closed its connection while the link was blocked: its buffered data is lost.
                return to.shutdown(Shutdown::Both);
            }
        }
        if size == 0 {
            // Propagates the close as a direct connection would.
            let _ = to.shutdown(Shutdown::Both);
            return read.map(|_| ());
        }
        to.write_all(buffer.get(..size).unwrap_or_default())?;
    }
}

/// Waits up to [`POLL_INTERVAL`] and returns whether the peer has closed the connection.
fn closed_by_peer(stream: &TcpStream) -> io::Result<bool> {
    stream.set_read_timeout(Some(POLL_INTERVAL))?;
    let peeked = stream.peek(&mut [0; 1]);
    stream.set_read_timeout(None)?;
    match peeked {
        Ok(0) => Ok(true),
        Ok(_) => {
            thread::sleep(POLL_INTERVAL);
            Ok(false)
        }
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Ok(false)
        }
        Err(_) => Ok(true),
    }
}
