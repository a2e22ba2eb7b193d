//! Tests of graceful shutdown.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_relay::server;

use crate::support::Action;
use crate::support::Entry;
use crate::support::Target;
use crate::support::ok;

const REQUEST: &[u8] = b"GET /lectura/k HTTP/1.1\r\nhost: e\r\n\r\n";

async fn exchange(stream: &mut TcpStream) -> String {
    stream.write_all(REQUEST).await.unwrap();
    let mut text = String::new();
    while !text.ends_with("done") {
        let mut bytes = [0; 1024];
        let count =
            timeout(Duration::from_secs(2), stream.read(&mut bytes)).await.unwrap().unwrap();
        assert!(count > 0, "closed without a response after {text:?}");
        text.push_str(std::str::from_utf8(bytes.get(..count).unwrap()).unwrap());
    }
    text
}

/// Guards against a request on a kept-alive connection that gets no response because a planned stop
/// begins, and against connections that are refused during the grace period.
#[tokio::test]
async fn callers_are_asked_to_close_before_idle_connections_are_closed() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let mut entry = Entry::with_targets(&[&target]).await;
    let mut kept = TcpStream::connect(entry.caller).await.unwrap();
    let mut idle = TcpStream::connect(entry.caller).await.unwrap();
    assert!(!exchange(&mut kept).await.contains("connection: close"));
    exchange(&mut idle).await;
    entry.stop.send(true).unwrap();
    let stop_began = Instant::now();
    sleep(Duration::from_millis(100)).await;
    assert!(exchange(&mut kept).await.contains("connection: close"));
    let mut late = TcpStream::connect(entry.caller).await.unwrap();
    assert!(exchange(&mut late).await.contains("connection: close"));
    for mut stream in [kept, late] {
        assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0, "closed after the response");
    }
    assert!(stop_began.elapsed() < Duration::from_millis(400), "{:?}", stop_began.elapsed());
    let end = timeout(Duration::from_secs(2), idle.read(&mut [0; 1])).await.unwrap().unwrap();
    assert_eq!(end, 0, "an idle connection is closed after the grace period");
    assert!(stop_began.elapsed() >= Duration::from_millis(450), "{:?}", stop_began.elapsed());
    for server in entry.servers.split_off(1) {
        timeout(Duration::from_secs(2), server).await.unwrap().unwrap();
    }
}

/// Guards against an announced stop of which callers are not informed, and against a listener that
/// closes when the stop is announced.
#[tokio::test]
async fn announced_stop_drains_connections_before_it_begins() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (announce, leaving) = watch::channel(false);
    let (stop, stopped) = watch::channel(false);
    let options = server::Options {
        draining: Some(leaving),
        grace_period: Duration::ZERO,
        ..server::Options::default()
    };
    let serving = tokio::spawn(server::serve(listener, entry.router.clone(), options, stopped));
    let mut kept = TcpStream::connect(address).await.unwrap();
    assert!(!exchange(&mut kept).await.contains("connection: close"));
    announce.send(true).unwrap();
    assert!(exchange(&mut kept).await.contains("connection: close"));
    let mut late = TcpStream::connect(address).await.unwrap();
    assert!(exchange(&mut late).await.contains("connection: close"));
    stop.send(true).unwrap();
    timeout(Duration::from_millis(400), serving).await.unwrap().unwrap();
}

/// Guards against losing the request of a caller that has just connected when the listener closes.
#[tokio::test]
async fn new_connection_is_served_once_after_the_grace_period() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stop, stopped) = watch::channel(true);
    // The connection is still in the accept queue when the stop begins.
    let mut new = TcpStream::connect(address).await.unwrap();
    let options = server::Options { grace_period: Duration::ZERO, ..server::Options::default() };
    let serving = tokio::spawn(server::serve(listener, entry.router.clone(), options, stopped));
    sleep(Duration::from_millis(100)).await;
    assert!(TcpStream::connect(address).await.is_err(), "the listener is closed");
    assert!(exchange(&mut new).await.contains("connection: close"));
    let ended = timeout(Duration::from_millis(500), serving).await;
    ended.unwrap().unwrap();
}
