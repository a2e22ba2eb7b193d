//! Planned stops: what is accepted, what is refused, and that nothing that runs is broken off.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use caraway_production::caller::Caller;

use crate::cluster::Cluster;
use crate::cluster::wait;

/// Grace period of the instances of the tests.
const GRACE: Duration = Duration::from_secs(6);

fn deadline(milliseconds: &str) -> (&'static str, &str) {
    ("carawayscale-deadline-ms", milliseconds)
}

fn stop(cluster: &Cluster) -> Instant {
    cluster.instances[0].signal("TERM");
    wait(Duration::from_secs(1), "stopping", || {
        cluster.instances[0].log().contains("stop-requested")
    });
    Instant::now()
}

fn sleep_until(end: Instant) {
    thread::sleep(end.saturating_duration_since(Instant::now()));
}

/// Guards against passing on an order late in a stop and breaking it off at the end, before its deadline: the caller
/// could not know whether it ran.
#[test]
fn a_stop_refuses_orders_that_it_could_break_off() {
    let cluster = Cluster::start(2, 0, 1);
    let mut callers = [cluster.caller(0), cluster.caller(0)];
    for caller in &mut callers {
        let response = caller.call("GET", "/read/x", "first", &[deadline("2000")]);
        assert_eq!(response.unwrap().status, 200);
    }
    let stopped = stop(&cluster);
    sleep_until(stopped + Duration::from_millis(1500));
    let [long, short] = &mut callers;
    short.send("POST", "/slow/wait-1000", "short", &[deadline("2000")], "order").unwrap();
    let refused = long.call("POST", "/slow/wait-4200", "long", &[deadline("4500")]).unwrap();
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.header("connection"), Some("close"));
    let retry: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(retry > 0.0 && retry < 0.5, "{retry}");
    assert!(stopped.elapsed() < Duration::from_millis(2300), "{:?}", stopped.elapsed());
    assert_eq!(short.receive().unwrap().status, 200);
    assert_eq!((cluster.runs("long"), cluster.runs("short")), (0, 1));
    assert!(cluster.instances[0].log().contains("stops before the deadline"));
}

/// Guards against waiting for a body until the process exits, or running its request too late.
#[test]
fn a_stop_refuses_an_order_whose_body_is_late() {
    let mut cluster = Cluster::start(1, 0, 1);
    let mut caller = cluster.caller(0);
    let head = "POST /slow/x HTTP/1.1\r\nhost: shop.example\r\ncarawayscale-attempt-id: late\r\n\
                carawayscale-deadline-ms: 11000\r\ncontent-length: 5\r\n\r\nord";
    caller.send_raw(head.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(200));
    let stopped = stop(&cluster);
    let response = caller.receive().unwrap();
    assert_eq!(response.status, 503, "{response:?}");
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    assert_eq!(cluster.runs("late"), 0);
    assert_eq!(cluster.instances[0].wait(Duration::from_secs(2)).unwrap().code(), Some(0));
}

/// Pause of a client in the middle of a body.
const HALF_BODY_PAUSE: Duration = Duration::from_millis(400);

fn get(path: &str, attempt: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: shop.example\r\ncarawayscale-attempt-id: {attempt}\r\n\
         carawayscale-deadline-ms: 2000\r\ncookie: {}\r\n\r\n",
        "c".repeat(900)
    )
}

/// Guards against a stop that goes on reading from a connection with requests in flight: a client that sends more than
/// is read ahead kept its connection until requests were refused or broken off.
#[test]
fn a_stop_reads_nothing_ahead() {
    const OUTSTANDING: usize = 24;
    let cluster = Cluster::start(4, 0, 1);
    let mut caller = cluster.caller(0);
    let mut sent = 0;
    let mut send = |caller: &mut Caller| {
        sent += 1;
        caller.send_raw(get("/read/wait-200", &format!("a{sent}")).as_bytes())
    };
    for _ in 0..OUTSTANDING {
        send(&mut caller).unwrap();
    }
    let mut stopped = None;
    let mut answered = 0;
    loop {
        let response = caller.receive().unwrap();
        answered += 1;
        assert_eq!(
            (response.status, response.body.ends_with(&format!(":a{answered}"))),
            (200, true)
        );
        if response.header("connection") == Some("close") {
            break;
        }
        if answered == OUTSTANDING {
            stopped = Some(stop(&cluster));
        }
        // Fails once the connection is closed.
        let _ = send(&mut caller);
    }
    // The requests in flight take 200 ms; the listener is still open.
    let elapsed = stopped.unwrap().elapsed();
    assert!(elapsed < GRACE.mul_f64(0.45), "{elapsed:?}");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(cluster.journal.runs().len(), answered, "requests ran that got no response");
}

/// Guards against closing a connection at a stop while its client still reads: what the client sends meanwhile reset
/// the connection, and responses that it had not read yet were lost.
#[yare::parameterized(
    with_requests_in_flight = { true },
    idle = { false },
)]
fn a_stop_waits_for_clients_that_read_slowly(in_flight: bool) {
    const RESPONSE_BYTES: usize = 400_000;
    const PACE: Duration = Duration::from_millis(20);
    let mut cluster = Cluster::start(4, 0, 1);
    let mut stream = TcpStream::connect(cluster.instances[0].caller_address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let path = if in_flight { "/read/wait-300-large-400" } else { "/read/large-400" };
    for index in 0..3 {
        stream.write_all(get(path, &format!("a{index}")).as_bytes()).unwrap();
    }
    wait(Duration::from_secs(2), "running", || cluster.journal.runs().len() == 3);
    if !in_flight {
        // Until the responses have been written.
        thread::sleep(Duration::from_millis(300));
    }
    cluster.instances[0].signal("TERM");
    let mut received = Vec::new();
    let mut behind = 0;
    let mut space = [0; 8192];
    loop {
        let size = stream.read(&mut space).unwrap();
        if size == 0 {
            break;
        }
        received.extend_from_slice(&space[..size]);
        if received.len() / RESPONSE_BYTES > behind {
            behind += 1;
            // A request behind the last response. It is not read, so sending it may fail.
            let _ = stream.write_all(get("/read/x", &format!("behind-{behind}")).as_bytes());
        }
        thread::sleep(PACE);
    }
    let text = String::from_utf8(received).unwrap();
    let responses: Vec<&str> = text.split("HTTP/1.1 200 OK").skip(1).collect();
    for (index, response) in responses.iter().take(3).enumerate() {
        let (_, body) = response.split_once("\r\n\r\n").unwrap();
        assert!(body.contains(&format!(":a{index}.")), "response {index}");
        assert!(body.len() >= RESPONSE_BYTES, "{} bytes of response {index}", body.len());
    }
    assert!(responses.len() >= 3, "{} responses", responses.len());
    drop(stream);
    assert_eq!(cluster.instances[0].wait(GRACE).unwrap().code(), Some(0));
}

/// Guards against a response without a length that looks complete because the process ended: the operating system
/// closes the connections of a process in order.
#[yare::parameterized(
    stopped = { "TERM" },
    killed = { "KILL" },
)]
fn a_response_that_ends_with_the_process_does_not_look_complete(signal: &str) {
    let mut cluster = Cluster::start(1, 0, 1);
    let mut stream = TcpStream::connect(cluster.instances[0].caller_address).unwrap();
    stream.set_read_timeout(Some(GRACE * 2)).unwrap();
    let head = "GET /slow/endless-stream HTTP/1.0\r\nhost: shop.example\r\n\
                carawayscale-attempt-id: a\r\ncarawayscale-deadline-ms: 11000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut space = [0; 16 << 10];
    let mut received = 0;
    // More than is buffered, so that the response is being streamed.
    while received < 65_000 {
        received += stream.read(&mut space).unwrap();
    }
    cluster.instances[0].signal(signal);
    let end = loop {
        match stream.read(&mut space) {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            Err(error) => break Err(error.kind()),
        }
    };
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
    assert!(cluster.instances[0].wait(Duration::from_secs(2)).is_some());
}

/// Guards against a response without a length that is reset although it is complete.
#[test]
fn a_complete_response_without_a_length_ends_in_order() {
    let cluster = Cluster::start(1, 0, 1);
    for index in 0..20 {
        let mut stream = TcpStream::connect(cluster.instances[0].caller_address).unwrap();
        let attempt = format!("a{index}");
        let text = get("/read/unframed-large-60", &attempt).replacen("HTTP/1.1", "HTTP/1.0", 1);
        stream.write_all(text.as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        assert!(text.ends_with('.') && text.contains(&format!(":{attempt}.")), "{}", text.len());
    }
}

/// How a client sends its request.
#[derive(Clone, Copy, Debug)]
enum Shape {
    Get,
    KeptOrder,
    Order,
    Chunked,
    Expecting,
    Head,
    Ahead,
    HalfBody,
    OldVersion,
}

const SHAPES: [Shape; 9] = [
    Shape::Get,
    Shape::KeptOrder,
    Shape::Order,
    Shape::Chunked,
    Shape::Expecting,
    Shape::Head,
    Shape::Ahead,
    Shape::HalfBody,
    Shape::OldVersion,
];

/// A request that is sent during a stop, and what its client received until the connection ended.
struct Exchange {
    shape: Shape,
    sent_ms: u64,
    limit: Duration,
    attempts: Vec<String>,
    received: String,
    /// Time from the request to the end of the connection.
    elapsed: Duration,
}

impl Exchange {
    /// Sends a request of a shape at `at` and reads until the connection ends. An empty text means that the connection
    /// ended without a response, or could not be opened.
    fn perform(
        address: SocketAddr,
        shape: Shape,
        sent_ms: u64,
        limit_ms: u64,
        at: Instant,
    ) -> Self {
        let attempt = format!("{shape:?}-{sent_ms}-{limit_ms}");
        let mut exchange = Self {
            shape,
            sent_ms,
            limit: Duration::from_millis(limit_ms),
            attempts: vec![attempt],
            received: String::new(),
            elapsed: Duration::ZERO,
        };
        // Errors of the connection end the exchange; what arrived until then counts.
        let _ = exchange.run(address, limit_ms, at);
        exchange.elapsed = at.elapsed();
        exchange
    }

    fn head(&self, method: &str, attempt: &str, limit_ms: u64, lines: &str) -> String {
        // The work ends shortly before the deadline, which counts from the head.
        let late =
            if matches!(self.shape, Shape::HalfBody) { HALF_BODY_PAUSE } else { Duration::ZERO };
        let work = limit_ms * 9 / 10 - u64::try_from(late.as_millis()).unwrap();
        let route = match method {
            _ if limit_ms > 2000 => "slow",
            "POST" => "order",
            _ => "read",
        };
        let path = format!("/{route}/wait-{work}");
        format!(
            "{method} {path} HTTP/1.1\r\nhost: shop.example\r\ncarawayscale-attempt-id: {attempt}\r\n\
             carawayscale-deadline-ms: {limit_ms}\r\n{lines}\r\n"
        )
    }

    fn run(&mut self, address: SocketAddr, limit_ms: u64, at: Instant) -> std::io::Result<()> {
        let length = "content-length: 5\r\n";
        let attempt = self.attempts[0].clone();
        let get = self.head("GET", &attempt, limit_ms, "");
        let post = |lines: &str| self.head("POST", &attempt, limit_ms, lines);
        let (text, rest) = match self.shape {
            Shape::Get => (get, String::new()),
            Shape::KeptOrder | Shape::Order => (post(length) + "order", String::new()),
            Shape::Chunked => {
                (post("transfer-encoding: chunked\r\n") + "5\r\norder\r\n0\r\n\r\n", String::new())
            }
            Shape::Expecting => {
                (post(&format!("{length}expect: 100-continue\r\n")), "order".to_owned())
            }
            Shape::Head => (get.replacen("GET", "HEAD", 1), String::new()),
            Shape::Ahead => {
                let second = format!("{attempt}-second");
                self.attempts.push(second.clone());
                (get + &self.head("GET", &second, limit_ms, ""), String::new())
            }
            Shape::HalfBody => (post(length) + "or", "der".to_owned()),
            Shape::OldVersion => (get.replacen("HTTP/1.1", "HTTP/1.0", 1), String::new()),
        };
        let kept = match self.shape {
            Shape::KeptOrder => {
                let mut caller = Caller::open(address)?;
                caller.call("GET", "/read/x", "first", &[])?;
                Some(caller)
            }
            _ => None,
        };
        sleep_until(at);
        if let Some(mut caller) = kept {
            caller.send_raw(text.as_bytes())?;
            let response = caller.receive()?;
            self.received = format!("HTTP/1.1 {}\r\n{}", response.status, response.body);
            return Ok(());
        }
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(GRACE + Duration::from_secs(2)))?;
        stream.write_all(text.as_bytes())?;
        if matches!(self.shape, Shape::Expecting) {
            let mut space = [0; 1024];
            let size = stream.read(&mut space)?;
            let text = String::from_utf8_lossy(&space[..size]).into_owned();
            if !text.starts_with("HTTP/1.1 100") {
                self.received = text;
            } else {
                stream.write_all(rest.as_bytes())?;
            }
        } else if !rest.is_empty() {
            thread::sleep(HALF_BODY_PAUSE);
            stream.write_all(rest.as_bytes())?;
        }
        let mut space = [0; 4096];
        loop {
            let size = stream.read(&mut space)?;
            if size == 0 {
                return Ok(());
            }
            self.received += &String::from_utf8_lossy(&space[..size]);
        }
    }

    /// Returns what is wrong, if anything, where `ran` tells whether an attempt ran.
    fn problem(&self, ran: impl Fn(&str) -> bool) -> Option<String> {
        let responses: Vec<&str> = self.received.split("HTTP/1.1 ").skip(1).collect();
        let status = |response: &str| response.get(..3).unwrap_or_default().to_owned();
        for (index, attempt) in self.attempts.iter().enumerate() {
            let response = responses.get(index).copied().unwrap_or_default();
            let whole = match self.shape {
                Shape::Head => response.ends_with("\r\n\r\n"),
                _ => response.ends_with(&format!(":{attempt}")),
            };
            let allowed = match status(response).as_str() {
                "200" => ran(attempt) && whole,
                "503" | "" => !ran(attempt),
                // The deadline ends a request, also one that a slow machine keeps from ending in time.
                "504" => self.elapsed >= self.limit,
                _ => false,
            };
            if !allowed {
                let ran = ran(attempt);
                return Some(format!(
                    "{attempt} sent at {}, ran: {ran}, got {response:?}",
                    self.sent_ms
                ));
            }
        }
        None
    }
}

/// Guards against requests that are taken late in the grace period and cut off at its end, whatever their shape: each
/// is answered by its target, or has not run.
#[test]
fn a_stop_answers_or_refuses_requests_of_every_shape() {
    let mut cluster = Cluster::start(12, 0, 1);
    let address = cluster.instances[0].caller_address;
    // The connections that are kept open are idle for less than the timeout.
    let stopped = Instant::now() + Duration::from_millis(500);
    let mut clients = Vec::new();
    for shape in SHAPES {
        for (sent_ms, limit_ms) in (100..5600).step_by(550).zip([700, 4000, 1900].iter().cycle()) {
            let at = stopped + Duration::from_millis(sent_ms);
            // Requests that are sent ahead run at the same time only on a route of repeatable ones.
            let most = if matches!(shape, Shape::Ahead) { 1900 } else { 4000 };
            let limit_ms = (*limit_ms).min(most);
            clients.push(thread::spawn(move || {
                if !matches!(shape, Shape::KeptOrder) {
                    sleep_until(at - Duration::from_millis(5));
                }
                Exchange::perform(address, shape, sent_ms, limit_ms, at)
            }));
        }
    }
    sleep_until(stopped);
    cluster.instances[0].signal("TERM");
    let exchanges: Vec<Exchange> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    assert_eq!(cluster.instances[0].wait(Duration::from_secs(2)).unwrap().code(), Some(0));
    let ran = |attempt: &str| cluster.runs(attempt) > 0;
    let problems: Vec<String> = exchanges.iter().filter_map(|e| e.problem(ran)).collect();
    assert!(problems.is_empty(), "{}", problems.join("\n"));
    let answered = exchanges.iter().filter(|e| e.received.contains(" 200")).count();
    let refused = exchanges.iter().filter(|e| e.received.contains(" 503")).count();
    println!("{answered} answered, {refused} refused, {} in all", exchanges.len());
    // Requests of the first second of the stop have time.
    assert!(answered >= 2 * SHAPES.len(), "{answered} answered");
}
