//! Test of memory use while relaying large bodies. It has its own file because it measures the
//! whole process.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support::Entry;
use crate::support::KEYED;
use crate::support::Target;

const BODY_BYTES: usize = 64 * 1024 * 1024;

/// Allowed growth of the peak in KiB; covers both ends, the relay and the buffers of the test.
const MAX_GROWTH_KIB: u64 = 8 * 1024;

static PIECE: [u8; 65536] = [b'x'; 65536];

fn status_kib(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

async fn head(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(bytes).unwrap()
}

async fn write_body(stream: &mut TcpStream) {
    for _ in 0..BODY_BYTES / PIECE.len() {
        stream.write_all(&PIECE).await.unwrap();
    }
}

async fn read_body(stream: &mut TcpStream) {
    let mut piece = vec![0; PIECE.len()];
    let mut left = BODY_BYTES;
    while left > 0 {
        let read = stream.read(&mut piece).await.unwrap();
        assert!(read > 0, "{left} bytes are missing");
        left -= read;
    }
}

/// Guards against buffering whole bodies in the relay: 64 MB are relayed in each direction.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_are_relayed_in_bounded_memory() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = Target { address, received: Default::default(), cancelled: Default::default() };
    let entry = Entry::with_targets(&[&target]).await;
    assert!(entry.router.directory.current().unwrap().coordinators().contains_key(KEYED));
    let serve = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let request = head(&mut stream).await;
        let id = request.lines().find_map(|line| line.strip_prefix("caraway-request-id: "));
        let id = id.unwrap().to_owned();
        read_body(&mut stream).await;
        let head = "HTTP/1.1 200 OK\r\ncaraway-request-id";
        let response = format!("{head}: {id}\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        stream.write_all(response.as_bytes()).await.unwrap();
        write_body(&mut stream).await;
    });
    // Writing 5 resets the peak (proc(5)).
    std::fs::write("/proc/self/clear_refs", "5").unwrap();
    let before = status_kib("VmRSS");
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    let request = "PUT /lectura/k HTTP/1.1\r\nhost: e\r\n";
    let request = format!("{request}content-length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    write_body(&mut stream).await;
    let response = head(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 200 OK"), "{response}");
    read_body(&mut stream).await;
    serve.await.unwrap();
    let grown = status_kib("VmHWM").saturating_sub(before);
    println!("peak growth: {grown} KiB for two bodies of {BODY_BYTES} bytes");
    assert!(grown < MAX_GROWTH_KIB, "{grown} KiB");
}
