//! A download crashes each server that runs it, after the server has sent a part of its answer. The client repeats it, as
//! after any failure of a request that may be repeated. Judged: BUDGET.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::record::Record;
use crate::server::Server;
use crate::server::World;
use crate::server::lock;

/// Instances and servers.
const EDGES: u8 = 3;
const SERVERS: usize = 8;

/// Size of the download, and how much of it a server sends before it crashes.
const DOWNLOAD_BYTES: usize = 90_000;
const SENT_BYTES: usize = 20_000;

/// Time after which a crashed server is back.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Number of times that the request comes, and the time between them.
const TIMES: usize = 15;
const INTERVAL: Duration = Duration::from_secs(1);

/// `contact_ms`.
const CONTACT: Duration = Duration::from_secs(3);

/// Most retries that may reach servers later than `contact_ms` after the third crash.
const MAX_RETRIES: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let configuration = configuration(
        &[("archivo", false)],
        &[("manual-dl", "/cufi502/", "download", "archivo", 1000)],
    );
    let mut deployment = Deployment::start(&configuration, EDGES)?;
    let work = vec![("/cufi502/", Duration::from_millis(50), DOWNLOAD_BYTES)];
    let (store, runs) = (deployment.store.clone(), Arc::default());
    let poison = trouble.then_some(SENT_BYTES);
    let world = World { store, record: record.clone(), work, runs, poison };
    let zones = ["andina-med", "andina-bog"];
    let start = move |world: &World, number: usize, life: usize| {
        let id = format!("i-{number}-{life}");
        Server::start(world, &id, "archivo", zones[number % zones.len()])
    };
    let servers: Result<Vec<Server>, String> = (0..SERVERS).map(|n| start(&world, n, 1)).collect();
    let servers = Arc::new(Mutex::new(servers?));
    deployment.wait_ready(Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(4));
    // A crashed server is back after some seconds, as a new incarnation.
    let (watched, world_of_new) = (servers.clone(), world.clone());
    thread::spawn(move || {
        let mut crashed_at = [None; SERVERS];
        for life in 2.. {
            thread::sleep(Duration::from_millis(100));
            let mut servers = lock(&watched);
            for (number, server) in servers.iter_mut().enumerate() {
                if !server.is_down() {
                    continue;
                }
                let since = *crashed_at[number].get_or_insert(Instant::now());
                if since.elapsed() >= RETURN_TIME
                    && let Ok(new) = start(&world_of_new, number, life)
                {
                    (*server, crashed_at[number]) = (new, None);
                }
            }
        }
    });
    for number in 0..TIMES {
        let edge = &deployment.edges[number % deployment.edges.len()];
        let attempt = format!("repeated-{number}");
        let fields = [("Carawayscale-Deadline-Ms", "1000")];
        let result = Client::open(edge.frontend)
            .and_then(|mut client| client.call("GET", "/cufi502/poison", &attempt, &fields, b""));
        let result = match result {
            Ok(response) => format!("{} with {} bytes", response.status, response.body.len()),
            Err(error) => format!("no complete answer: {error}"),
        };
        record.line(&format!("client: {attempt} at {}: {result}", edge.name));
        thread::sleep(INTERVAL);
    }
    let runs = lock(&world.runs);
    record.line(&format!("{} runs in all", runs.len()));
    if !trouble {
        return if runs.len() == TIMES { Ok(true) } else { Err("not all were served".to_owned()) };
    }
    let Some(third) = runs.get(2).map(|run| run.at) else {
        return Err("the request has not crashed three servers".to_owned());
    };
    let late: Vec<&str> =
        runs.iter().filter(|run| run.at > third + CONTACT).map(|run| &*run.attempt).collect();
    record.line(&format!(
        "BUDGET: {} retries reached servers later than {} ms after the third crash: {late:?}",
        late.len(),
        CONTACT.as_millis()
    ));
    Ok(late.len() <= MAX_RETRIES)
}
