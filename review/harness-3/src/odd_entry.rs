//! Another writer has left an entry with a service that the configuration does not name, with the address of a server
//! that owns keys. The server leaves without a notice. Judged: OWNER.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use caraway_production::target::Hold;
use caraway_production::target::Journal;
use caraway_production::target::Target;

use crate::Verdict;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::deployment::Registration;
use crate::deployment::configuration;
use crate::deployment::record_logs;
use crate::deployment::unix_ms;
use crate::deployment::wait;
use crate::record::Record;

/// Servers. One leaves, a share of 0.125; the largest share of `scale_in` is 0.13.
const SERVERS: usize = 8;

/// Time for which a server serves after its entry was removed: `drain_ms`, and a little longer.
const SERVING_TIME: Duration = Duration::from_millis(2500);

/// Time above which two servers may not hold the same keys.
const OVERLAP: Duration = Duration::from_millis(500);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let configuration = configuration(
        &[("lectura", true)],
        &[("step-reads", "/leny950/", "idempotent", "lectura", 1200)],
    );
    let mut deployment = Deployment::start(&configuration, 2)?;
    let journal = Journal::default();
    let zones = ["andina-med", "andina-bog"];
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let (id, zone) = (format!("i-{number}"), zones[number % zones.len()]);
        let born = unix_ms();
        let server = Target::start_incarnation(&id, born, "lectura", true, &journal);
        let server = server.map_err(|error| error.to_string())?;
        let registration =
            Registration::begin(&deployment.store, &id, "lectura", zone, server.address, born);
        servers.push((id, server, registration));
    }
    deployment.wait_ready(Duration::from_secs(15))?;
    let address = deployment.edges[0].frontend;
    let served = |key: u16| {
        let key = key.to_string();
        let fields = [("Carawayscale-Deadline-Ms", "1200"), ("Carawayscale-Shard-Key", &key)];
        let response = Client::open(address)
            .and_then(|mut client| client.call("GET", "/leny950/2f", "probe", &fields, b""));
        response.is_ok_and(|response| response.status == 200)
    };
    wait(Duration::from_secs(20), "the keys are not served", || {
        (0..16).all(|part| served(part * 4096 + 17))
    })?;
    record.line("all keys are served");
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (stop, answered, record) = (stop.clone(), answered.clone(), record.clone());
            let address = deployment.edges[client % deployment.edges.len()].frontend;
            thread::spawn(move || read(&record, client, address, &stop, &answered))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let (id, leaving, registration) = &servers[3];
    if trouble {
        let entry = json!({
            "address": leaving.address.to_string(),
            "info": { "service": "lectura-old", "version": "v1", "zone": zones[1], "capacity": 4 },
            "status": { "state": "ready", "sequence": 1, "warmup_left_ms": 0 },
            "born": unix_ms(),
        });
        deployment.store.put("servers/agent-7", &entry);
        record.line(&format!("another writer writes servers/agent-7: {entry}"));
    }
    thread::sleep(Duration::from_secs(3));
    record.line(&format!("server {id} leaves without a notice: its entry is removed"));
    registration.remove();
    thread::sleep(SERVING_TIME);
    record.line(&format!("server {id} exits"));
    leaving.crash();
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record_logs(record, &deployment, &["agent-7", "\"i-3\"", "keys moved"]);
    judge(record, &journal, answered.load(Ordering::SeqCst))
}

/// Sends reads of keys all over the range.
fn read(
    record: &Record,
    client: usize,
    address: std::net::SocketAddr,
    stop: &AtomicBool,
    answered: &AtomicUsize,
) {
    let mut connection = None;
    for number in 0_u32.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(Duration::from_millis(15));
        let opened = connection.take().map_or_else(|| Client::open(address), Ok);
        let Ok(mut open) = opened else { continue };
        let (attempt, key) = (format!("c{client}-{number}"), (number * 2_477 % 65_536).to_string());
        let fields = [("Carawayscale-Deadline-Ms", "1200"), ("Carawayscale-Shard-Key", &key)];
        let Ok(response) = open.call("GET", "/leny950/2f", &attempt, &fields, b"") else {
            continue;
        };
        let server = String::from_utf8_lossy(&response.body);
        record.line(&format!(
            "client: {attempt}, key {key}: {} {}",
            response.status,
            server.trim()
        ));
        answered.fetch_add(usize::from(response.status == 200), Ordering::SeqCst);
        if response.header("connection") != Some("close") {
            connection = Some(open);
        }
    }
}

fn judge(record: &Record, journal: &Journal, answered: usize) -> Verdict {
    let now = Instant::now();
    let mut longest = Duration::ZERO;
    for (a, b) in journal.conflicts() {
        let from = a.from.max(b.from);
        let until = a.until.min(b.until).min(now);
        let overlap = until.saturating_duration_since(from);
        longest = longest.max(overlap);
        let describe = |hold: &Hold| {
            format!(
                "{} held {} to {} with token {} from {:.3} s until {:.3} s",
                hold.target,
                hold.first,
                hold.last,
                hold.fence,
                record.seconds(hold.from),
                record.seconds(hold.until)
            )
        };
        record.line(&format!(
            "OWNER: {}; {}; both for {} ms",
            describe(&a),
            describe(&b),
            overlap.as_millis()
        ));
    }
    record.line(&format!("{answered} requests served, longest overlap {} ms", longest.as_millis()));
    if answered < 100 {
        return Err("fewer than 100 requests were served".to_owned());
    }
    Ok(longest <= OVERLAP)
}
