//! Clients send orders with long bodies, within the limit of the configuration. The memory of entry
//! instances is limited as on a machine.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::limit::Limit;
use crate::limit::MAX_LOST;
use crate::server::lock;

const EDGES: usize = 3;
const SERVERS: usize = 4;
/// Bytes of a long body; `max_body_bytes` of the configuration is 67,108,864.
const LONG_BODY: usize = 60_000_000;
/// Bytes of a body without the disruption.
const SHORT_BODY: usize = 60_000;
const DURATION: Duration = Duration::from_secs(40);
const UPLOAD_INTERVAL: Duration = Duration::from_millis(1200);

/// Sends an order with a body of this size; returns the status line, empty if there was no answer.
fn upload(edge: SocketAddr, attempt: &str, size: usize) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&edge, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let head = format!(
        "POST /order/w20 HTTP/1.1\r\nhost: shop.example\r\ncarawayscale-attempt-id: {attempt}\r\n\
         carawayscale-deadline-ms: 1500\r\ncontent-length: {size}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; size])?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.lines().next().unwrap_or_default().to_owned())
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let fail = |error: io::Error| error.to_string();
    let mut deployment = Deployment::start(root, record, 1, SERVERS).map_err(fail)?;
    for _ in 0..EDGES {
        deployment.add_edge(deployment.store.address).map_err(fail)?;
    }
    deployment.wait_served()?;
    for index in 0..EDGES * 5 {
        let next = |_| ("POST", "/order/w210".to_owned(), None);
        deployment.add_client(index % EDGES, Duration::from_millis(60), next);
    }
    let limit = Limit::start(&deployment);
    let size = if trouble { LONG_BODY } else { SHORT_BODY };
    let frontends: Vec<SocketAddr> =
        deployment.edges.iter().map(|edge| lock(edge).frontend).collect();
    let started = Instant::now();
    for (number, edge) in frontends.iter().cycle().enumerate() {
        if started.elapsed() > DURATION {
            break;
        }
        let attempt = format!("u{number:04}");
        deployment.record.line(&format!("client sends {attempt}: {size} bytes to {edge}"));
        let answer = upload(*edge, &attempt, size);
        deployment.record.line(&format!("client gets {answer:?} for {attempt}"));
        thread::sleep(UPLOAD_INTERVAL);
    }
    limit.end()?;
    deployment.end_clients();
    deployment.count_answers();
    Ok(deployment.count_lost(|_| true) <= MAX_LOST)
}
