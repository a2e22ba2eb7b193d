//! Starts an environment of one size, waits until it is calm and measures it without and with load.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use caraway_demo::builder::Builder;
use caraway_demo::environment::Environment;
use caraway_demo::environment::Kind;
use caraway_demo::traffic;
use caraway_load::profile::Arrival;
use caraway_load::profile::Profile;
use caraway_load::run::Run;

use crate::errors::Error;
use crate::errors::Result;
use crate::exposition;
use crate::reading;
use crate::reading::Measures;
use crate::reading::Reading;
use crate::series::Factor;
use crate::size::Size;

/// Time without a change of a coordinator, an owner or a stored record after which an environment is calm.
const CALM: Duration = Duration::from_secs(2);
/// Longest wait for calm.
const CALM_LIMIT: Duration = Duration::from_secs(30);
/// Time between the start of the load and the start of its window.
const LEAD: Duration = Duration::from_secs(1);
/// Promotions whose time until they are in force is measured.
const PROMOTIONS: usize = 5;
/// Connections of the load.
const CONNECTIONS: usize = 64;

/// What the processes of one role used, on average.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The factor that differs in the series.
    pub factor: Factor,
    /// Its value.
    pub value: f64,
    /// True if the window had load.
    pub load: bool,
    /// Role of the processes.
    pub role: &'static str,
    /// Number of processes of the role.
    pub processes: usize,
    /// Load average of the machine over the last minute, before and after the window.
    pub load_average: (f64, f64),
    /// Means over the processes.
    pub measures: Measures,
}

/// Measures one size.
pub fn measure(factor: Factor, value: f64, size: &Size, window: Duration) -> Result<Vec<Row>> {
    let mut builder = Builder::new(size.document()?);
    builder.entries_per_domain = size.instances;
    builder.service_ms = 0;
    builder.log_level = "warn".to_owned();
    let mut environment = builder.start()?;
    wait_calm(&environment)?;
    let idle = idle_callers(&environment, size.idle)?;
    let pass = |_: &mut Environment| std::thread::sleep(window);
    let mut rows = window_rows(&mut environment, factor, value, false, pass)?;
    if size.changes > 0 {
        let promote = |environment: &mut Environment| promote(environment, size.changes, window);
        let mut changed = window_rows(&mut environment, factor, value, true, promote)?;
        let in_force = in_force_ms(&mut environment)?;
        for row in &mut changed {
            row.measures.insert("in force ms".to_owned(), in_force);
        }
        rows.extend(changed);
    }
    if size.rate + size.orders > 0.0 {
        let run = Run::start(profile(&environment, size, window))?;
        std::thread::sleep(LEAD);
        let mut loaded = window_rows(&mut environment, factor, value, true, pass)?;
        run.stop();
        let record = run.finish()?;
        let answered = record.samples.iter().filter(|sample| sample.verdict.answered()).count();
        let seconds = Duration::from_micros(record.duration_us).as_secs_f64();
        let rate = u32::try_from(answered).map_or(0.0, f64::from) / seconds;
        for row in &mut loaded {
            row.measures.insert("answered/s".to_owned(), rate);
        }
        rows.extend(loaded);
    }
    environment.check_processes()?;
    drop(idle);
    drop(environment);
    Ok(rows)
}

fn window_rows(
    environment: &mut Environment,
    factor: Factor,
    value: f64,
    load: bool,
    pass: impl FnOnce(&mut Environment),
) -> Result<Vec<Row>> {
    let before = load_average();
    let begin = Reading::take(environment, true)?;
    pass(environment);
    let end = Reading::take(environment, false)?;
    let load_average = (before, load_average());
    let coordinators = end.coordinators();
    let (holding, others): (Vec<String>, Vec<String>) =
        environment.names(Kind::Entry).into_iter().partition(|name| coordinators.contains(name));
    let roles = [
        ("coordinator", holding),
        ("forwarder", others),
        ("target", environment.names(Kind::Target)),
        ("platform", vec![reading::PLATFORM.to_owned()]),
        ("callers", vec![reading::CALLERS.to_owned()]),
    ];
    let mut rows = Vec::new();
    for (role, names) in roles.into_iter().filter(|(_, names)| !names.is_empty()) {
        let each: Vec<Measures> = names.iter().filter_map(|name| end.since(&begin, name)).collect();
        let processes = each.len();
        let measures = means(&each);
        rows.push(Row { factor, value, load, role, processes, load_average, measures });
    }
    Ok(rows)
}

/// Returns the mean of each measure; a process without it counts as 0.
pub fn means(each: &[Measures]) -> Measures {
    let count = u32::try_from(each.len()).map_or(1.0, f64::from);
    let mut sums: BTreeMap<String, f64> = BTreeMap::new();
    for (name, value) in each.iter().flatten() {
        *sums.entry(name.clone()).or_insert(0.0) += value;
    }
    sums.into_iter().map(|(name, sum)| (name, sum / count)).collect()
}

/// Waits until no group, shard or stored record has changed for [`CALM`].
fn wait_calm(environment: &Environment) -> Result<()> {
    let started = Instant::now();
    let mut changes = changes(environment)?;
    let mut since = Instant::now();
    while since.elapsed() < CALM {
        if started.elapsed() > CALM_LIMIT {
            return Err(Error::NotCalm(CALM_LIMIT.as_secs()));
        }
        std::thread::sleep(Duration::from_millis(200));
        let now = self::changes(environment)?;
        if (now - changes).abs() > 0.5 {
            changes = now;
            since = Instant::now();
        }
    }
    Ok(())
}

fn changes(environment: &Environment) -> Result<f64> {
    let mut sum = 0.0;
    for name in environment.names(Kind::Entry) {
        let text = environment.admin_text(&name, "/metrics")?;
        sum += exposition::sum(&text, "caraway_takeovers_total");
        sum += exposition::sum(&text, "caraway_ownership_changes_total");
        let calls = exposition::by_label(&text, "caraway_store_calls_total", "kind");
        sum += calls.get("put").copied().unwrap_or(0.0);
    }
    Ok(sum)
}

/// Promotes the document at a rate for the time of a window.
fn promote(environment: &mut Environment, per_second: u32, window: Duration) {
    let gap = Duration::from_secs(1) / per_second;
    let end = Instant::now() + window;
    while Instant::now() < end {
        let next = Instant::now() + gap;
        if let Err(error) = environment.promote_again() {
            eprintln!("promotion: {error}");
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Returns the longest of several times from a promotion until every entry instance has its version in force.
fn in_force_ms(environment: &mut Environment) -> Result<f64> {
    let mut longest: f64 = 0.0;
    for _ in 0..PROMOTIONS {
        let began = Instant::now();
        environment.promote_again()?;
        let version = environment.revision();
        environment.wait_until("the version is in force", CALM_LIMIT, |environment| {
            let names = environment.names(Kind::Entry);
            names.iter().all(|name| in_force(environment, name) == Some(version))
        })?;
        longest = longest.max(began.elapsed().as_secs_f64() * 1000.0);
    }
    Ok(longest)
}

fn in_force(environment: &Environment, name: &str) -> Option<u64> {
    let text = environment.admin_text(name, "/metrics").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("caraway_config_version "))?;
    line.parse().ok()
}

/// Opens connections of callers that stay idle after one answered request.
fn idle_callers(environment: &Environment, count: usize) -> Result<Vec<TcpStream>> {
    let addresses = environment.entry_addresses(&[]);
    let open = |address: &SocketAddr| -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(b"GET /s1/idle HTTP/1.1\r\nhost: capacity\r\n\r\n")?;
        let mut answer = [0; 2048];
        let bytes = stream.read(&mut answer)?;
        if bytes == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(stream)
    };
    addresses.iter().cycle().take(count).map(|address| open(address).map_err(Error::Idle)).collect()
}

fn profile(environment: &Environment, size: &Size, window: Duration) -> Profile {
    let options = traffic::Options {
        run: "capacity".to_owned(),
        seconds: (LEAD + window + LEAD).as_secs_f64(),
        arrival: Arrival::Open {
            rate: size.rate + size.orders,
            connections: CONNECTIONS,
            poisson: true,
        },
        keys: 1000,
        ..traffic::Options::default()
    };
    let entries = environment.entry_addresses(&[]);
    let mut profile = traffic::for_document(environment.document(), entries, &options);
    let wanted = if size.orders > 0.0 { "PUT" } else { "GET" };
    profile.kinds.retain(|kind| kind.method == wanted);
    profile
}

/// Returns the load average of the machine over the last minute.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|value| value.parse().ok()).unwrap_or(f64::NAN)
}
