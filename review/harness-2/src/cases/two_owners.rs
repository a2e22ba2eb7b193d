//! An entry from another writer, with fields missing, gives the keys of a server to a second one while the
//! first still holds them.

use std::io::BufReader;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use caraway_production::target::Hold;
use caraway_production::target::Journal;
use caraway_production::target::Target;

use crate::Failure;
use crate::Verdict;
use crate::client;
use crate::edge::Bounds;
use crate::edge::Edge;
use crate::record::Record;
use crate::setup;
use crate::setup::Route;

const SERVICE: &str = "lectura";

/// Overlap of two holds above which the rule is broken.
const ALLOWED: Duration = Duration::from_millis(500);

/// Interval of the requests for keys.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Sends requests for keys of the whole range for some time, and records their answers.
fn request_keys(
    edge: &Edge,
    time: Duration,
    name: &str,
    record: &Record,
) -> Result<usize, Failure> {
    let (end, mut served) = (Instant::now() + time, 0);
    for count in 0_u32.. {
        if Instant::now() > end {
            break;
        }
        let key = count.wrapping_mul(7919) % 65_536;
        let attempt = format!("{name}-{count}");
        let mut output = edge.connect()?;
        let mut input = BufReader::new(output.try_clone()?);
        let text = client::get("/steps/x", &attempt, 1200, 0);
        let head = text.trim_end_matches("\r\n");
        let sent = Instant::now();
        output.write_all(format!("{head}\r\nCarawayscale-Shard-Key: {key}\r\n\r\n").as_bytes())?;
        let answer = client::read(&mut input, &attempt, &mut client::whole)?;
        served += usize::from(answer.status == 200);
        record.note_at(sent, &format!("{attempt} sent for key {key}; answered {}", answer.status));
        thread::sleep(REQUEST_INTERVAL);
    }
    Ok(served)
}

fn describe(hold: &Hold, record: &Record) -> String {
    format!(
        "{} holds {} to {} under token {} from {:.4} to {:.4}",
        hold.target,
        hold.first,
        hold.last,
        hold.fence,
        record.seconds(hold.from),
        record.seconds(hold.until)
    )
}

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    let route = Route {
        name: "step-reads",
        prefix: "/steps/",
        kind: "idempotent",
        service: SERVICE,
        timeout_ms: 1200,
        objective_ms: 500,
    };
    let store = setup::store(&setup::configuration(&[route], &[SERVICE], &[SERVICE]))?;
    let journal = Journal::default();
    let start = |id: &str| Target::start(id, SERVICE, true, &journal);
    let targets =
        ["i-a", "i-b", "i-c", "i-d"].map(start).into_iter().collect::<Result<Vec<_>, _>>()?;
    let [first, second, ..] = targets.as_slice() else { return Err("too few servers".into()) };
    let (key, address) = (first.registration_key(), second.address);
    let beating = targets.clone();
    setup::start_heartbeats(&store, move |sequence| {
        let entry = |target: &Target| {
            let mut entry = target.registration("ready");
            entry["status"]["sequence"] = json!(sequence);
            (target.registration_key(), entry)
        };
        beating.iter().map(entry).collect()
    });
    let bounds = Bounds { grace_s: 6, drain_ms: 2000 };
    let edge = Edge::start(1, store.address, bounds)?;
    let _other = Edge::start(2, store.address, bounds)?;
    request_keys(&edge, Duration::from_secs(5), "before", record)?;
    if trouble {
        // The next heartbeat of the server replaces it.
        let entry = json!({
            "address": address.to_string(),
            "info": { "service": SERVICE, "zone": "a", "capacity": 4 },
            "status": { "state": "ready" },
        });
        record.note(&format!("another writer writes {key}: {entry}"));
        store.put(&key, &entry);
    }
    let served = request_keys(&edge, Duration::from_secs(6), "after", record)?;
    let mut broken = 0;
    for (a, b) in journal.conflicts() {
        let overlap = a.until.min(b.until).saturating_duration_since(a.from.max(b.from));
        let both = format!("{}; {}", describe(&a, record), describe(&b, record));
        record.note_at(a.from.max(b.from), &format!("for {overlap:.3?}: {both}"));
        broken += u32::from(overlap > ALLOWED);
    }
    for run in journal.runs() {
        let key = run.key.unwrap_or_default();
        record.note_at(run.at, &format!("{} runs {} for key {key}", run.target, run.attempt));
    }
    let summary = format!(
        "{broken} times two servers that are up held the same keys for over half a second; {served} requests \
         were served after the entry"
    );
    Ok(Verdict { broken: broken > 0 || served == 0, summary })
}
