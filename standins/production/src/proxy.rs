//! Loopback proxy that stands for a network: it delays, holds up, loses or resets what passes.

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

/// Time between two looks at the state of the link while it passes nothing.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes that are read at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// What the link does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    /// Everything passes.
    #[default]
    Open,
    /// Everything passes later by this time.
    Slow(Duration),
    /// Nothing passes and nobody is told. What was sent arrives when the link opens again.
    Silent,
    /// Requests pass and responses do not.
    OneWay,
    /// Connections are closed at once.
    Reset,
}

#[derive(Debug, Default)]
struct Shared {
    link: Mutex<Link>,
    /// Open connections by number.
    streams: Mutex<HashMap<u64, [TcpStream; 2]>>,
    count: AtomicU64,
}

/// A link to one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    /// Address at which the link is reached.
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
    /// Opens a link to an address. It ends with the process.
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
                // A connection that breaks is what the link is for.
                thread::spawn(move || drop(connect(&shared, stream, target)));
            }
        });
        Ok(Self { shared, address })
    }

    /// Changes what the link does. A reset also closes the connections that are open.
    pub fn set_link(&self, link: Link) {
        *lock(&self.shared.link) = link;
        if link == Link::Reset {
            self.close_connections();
        }
    }

    /// Closes the connections that are open.
    pub fn close_connections(&self) {
        for (_, streams) in lock(&self.shared.streams).drain() {
            for stream in streams {
                // It may have ended by itself.
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
    let number = shared.count.fetch_add(1, Ordering::SeqCst);
    lock(&shared.streams).insert(number, [caller.try_clone()?, server.try_clone()?]);
    let (from, to) = (caller.try_clone()?, server.try_clone()?);
    let there = shared.clone();
    let requests = thread::spawn(move || drop(pump(&there, from, to, Direction::Request)));
    let result = pump(shared, server, caller, Direction::Response);
    // It ends when the connection does.
    let _ = requests.join();
    lock(&shared.streams).remove(&number);
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
        let mut slowed = false;
        loop {
            let link = *lock(&shared.link);
            match link {
                Link::Slow(delay) if !slowed => {
                    slowed = true;
                    thread::sleep(delay);
                    continue;
                }
                Link::Silent => {}
                Link::OneWay if direction == Direction::Response => {}
                Link::Open | Link::Slow(_) | Link::OneWay | Link::Reset => break,
            }
            if size == 0 {
                thread::sleep(POLL_INTERVAL);
            } else if closed(&from)? {
                // What a sender has not got through is lost when it closes the connection.
                return to.shutdown(Shutdown::Both);
            }
        }
        if size == 0 {
            // The other side learns of the end as it would without the link.
            let _ = to.shutdown(Shutdown::Both);
            return read.map(|_| ());
        }
        to.write_all(buffer.get(..size).unwrap_or_default())?;
    }
}

/// Waits for a moment and returns whether the other side has closed a connection.
fn closed(stream: &TcpStream) -> io::Result<bool> {
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
