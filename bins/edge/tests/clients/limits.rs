//! Limits for clients: each takes effect where its setting says, and the defaults admit legal clients.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use caraway_production::caller::Caller;

use crate::cluster::wait;
use crate::crowd;
use crate::crowd::MEMORY_MB;
use crate::crowd::Watched;

fn start(setting: &str) -> Watched {
    Watched::start_with(MEMORY_MB, 1 << 20, &format!("{setting}\n"))
}

fn metric(watched: &Watched, line: &str) -> u64 {
    let mut caller = Caller::open(watched.instance().metrics_address).unwrap();
    let text = caller.call("GET", "/metrics", "m", &[]).unwrap().body;
    let value = text.lines().find_map(|known| known.strip_prefix(line));
    value.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
}

fn open(watched: &Watched, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(watched.callers()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    // Connections count as waiting from the moment at which they are accepted.
    thread::sleep(Duration::from_millis(50));
    stream
}

fn status(stream: &mut TcpStream) -> String {
    let mut space = [0; 4096];
    let size = stream.read(&mut space).unwrap_or(0);
    String::from_utf8_lossy(&space[..size.min(12)]).into_owned()
}

/// Guards against closing a connection with a request in flight, or one that waits for less time than another, when
/// all places are taken.
#[test]
fn the_connection_without_a_request_for_longest_is_closed_first() {
    let mut watched = start("ingress.max_connections=3");
    let mut busy = open(&watched, &crowd::head("GET", "/read/wait-1500", ""));
    let mut half = open(&watched, "GET /read/x HTTP/1.1\r\nhost: shop");
    let mut idle = open(&watched, "");
    let mut new = open(&watched, &crowd::head("GET", "/read/wait-1500", ""));
    assert_eq!(status(&mut half), "", "the longest waiting connection stays open");
    idle.write_all(crowd::head("GET", "/read/x", "").as_bytes()).unwrap();
    assert_eq!(status(&mut idle), "HTTP/1.1 200");
    let name = "caraway_connections_closed_total{reason=\"all places are taken\"}";
    assert_eq!(metric(&watched, name), 1);
    assert_eq!(status(&mut busy), "HTTP/1.1 200");
    assert_eq!(status(&mut new), "HTTP/1.1 200");
    assert!(watched.instance().log().contains("connection-closed"));
    watched.check();
}

/// Guards against closing connections with requests in flight for new ones.
#[test]
fn a_connection_is_refused_while_all_others_have_requests() {
    let mut watched = start("ingress.max_connections=2");
    let mut busy = [0, 1].map(|_| open(&watched, &crowd::head("GET", "/read/wait-1000", "")));
    let mut new = TcpStream::connect(watched.callers()).unwrap();
    assert_eq!(status(&mut new), "");
    let reason = "all places are taken by requests in flight";
    let name = format!("caraway_connections_closed_total{{reason=\"{reason}\"}}");
    assert_eq!(metric(&watched, &name), 1);
    for stream in &mut busy {
        assert_eq!(status(stream), "HTTP/1.1 200");
    }
    watched.check();
}

/// Guards against a limit of header fields that has no effect, or that refuses heads within `max_header_bytes` by
/// default.
#[yare::parameterized(
    below = { "ingress.max_header_fields=10", 5, "HTTP/1.1 200" },
    above = { "ingress.max_header_fields=10", 20, "HTTP/1.1 431" },
    most_by_default = { "", 3100, "HTTP/1.1 200" },
)]
fn header_fields_are_limited(setting: &str, count: usize, expected: &str) {
    let mut watched = start(setting);
    let mut stream = open(&watched, &crowd::head("GET", "/read/x", &"a:b\r\n".repeat(count)));
    assert_eq!(status(&mut stream), expected);
    watched.check();
}

/// Guards against reading more requests ahead than the setting allows.
#[test]
fn requests_in_flight_of_a_connection_are_limited() {
    let mut watched = start("ingress.read_ahead=2");
    let request = crowd::head("GET", "/read/wait-600", "");
    let mut caller = Caller::open(watched.callers()).unwrap();
    caller.send_raw(request.repeat(6).as_bytes()).unwrap();
    wait(Duration::from_secs(5), "running", || watched.cluster.runs("crowd") == 2);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(watched.cluster.runs("crowd"), 2);
    for _ in 0..6 {
        assert_eq!(caller.receive().unwrap().status, 200);
    }
    assert!(metric(&watched, "caraway_read_ahead_reached_total") > 0);
    watched.check();
}

/// Guards against requests in flight that take more descriptors than there are, and a refusal without the time
/// after which to send the request again.
#[test]
fn requests_in_flight_are_limited() {
    let mut watched = start("ingress.max_requests=2");
    let headers = [("carawayscale-deadline-ms", "5000")];
    let mut callers = Vec::new();
    for index in 0..4 {
        let mut caller = Caller::open(watched.callers()).unwrap();
        let attempt = format!("r{index}");
        caller.send("GET", "/read/wait-800", &attempt, &headers, "").unwrap();
        thread::sleep(Duration::from_millis(30));
        callers.push(caller);
    }
    for (index, caller) in callers.iter_mut().enumerate() {
        let response = caller.receive().unwrap();
        let runs = watched.cluster.runs(&format!("r{index}"));
        let expected = if index < 2 { (200, 1) } else { (503, 0) };
        assert_eq!((response.status, runs), expected, "{index}");
        assert_eq!(response.header("retry-after").is_some(), index >= 2);
    }
    watched.check();
}

/// Guards against a client that holds a connection and a target's response by reading nothing.
#[test]
fn a_client_that_reads_nothing_is_disconnected() {
    let mut watched = start("ingress.read_timeout_ms=500");
    let _stream = open(&watched, &crowd::head("GET", "/read/endless-close", ""));
    let name = "caraway_connections_closed_total{reason=\"unread response\"}";
    wait(Duration::from_secs(5), "disconnected", || metric(&watched, name) == 1);
    watched.check();
}

/// Guards against heads that stay unfinished for ever at listeners other than the one for callers.
#[test]
fn a_late_head_is_given_up_at_each_listener() {
    let mut watched = start("");
    let instance = watched.instance();
    let addresses =
        [instance.readiness_address, instance.instance_address, instance.metrics_address];
    let streams = addresses.map(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
        stream
    });
    for mut stream in streams {
        assert_eq!(stream.read(&mut [0]).unwrap_or(0), 0, "still open");
    }
    let name = "caraway_connections_closed_total{reason=\"late head\"}";
    assert_eq!(metric(&watched, name), 3);
    watched.check();
}
