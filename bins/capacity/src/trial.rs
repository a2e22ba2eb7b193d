//! Trials: each starts an environment of one size, waits until it has settled and measures it idle and under
//! load.

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

/// Time without a change of a coordinator, shard owner or stored record after which an environment has
/// settled.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time limit for an environment to settle, and for a document version to come into force.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which the load runs before and after its window.
const LOAD_MARGIN: Duration = Duration::from_secs(1);
/// Number of promotions whose time until they are in force is measured.
const MEASURED_PROMOTIONS: usize = 5;
/// Maximum number of connections of the load.
const MAX_CONNECTIONS: usize = 64;

/// Mean measures of the processes of one role in one window.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Varied factor.
    pub factor: Factor,
    /// Value of the factor.
    pub value: f64,
    /// True if the window was measured under load.
    pub load: bool,
    /// Role of the processes.
    pub role: &'static str,
    /// Number of processes of the role.
    pub processes: usize,
    /// One-minute load average of the machine before and after the window.
    pub load_average: (f64, f64),
    /// Means of the measures over the processes.
    pub measures: Measures,
}

/// Measures an environment of one size.
pub fn measure(factor: Factor, value: f64, size: &Size, window: Duration) -> Result<Vec<Row>> {
    let mut builder = Builder::new(size.document()?);
    builder.entries_per_domain = size.instances;
    builder.service_ms = 0;
    builder.log_level = "warn".to_owned();
    let mut environment = builder.start()?;
    wait_until_settled(&environment)?;
    let idle = idle_callers(&environment, size.idle)?;
    let wait_window = |_: &mut Environment| std::thread::sleep(window);
    let mut rows = measure_window(&mut environment, factor, value, false, wait_window)?;
    if size.changes > 0 {
        let promote = |environment: &mut Environment| promote(environment, size.changes, window);
        let mut promotion_rows = measure_window(&mut environment, factor, value, true, promote)?;
        let in_force = longest_promotion_ms(&mut environment)?;
        for row in &mut promotion_rows {
            row.measures.insert("in force ms".to_owned(), in_force);
        }
        rows.extend(promotion_rows);
    }
    if size.rate + size.orders > 0.0 {
        let run = Run::start(profile(&environment, size, window))?;
        std::thread::sleep(LOAD_MARGIN);
        let mut load_rows = measure_window(&mut environment, factor, value, true, wait_window)?;
        run.stop();
        let record = run.finish()?;
        let answered = record.samples.iter().filter(|sample| sample.verdict.answered()).count();
        let seconds = Duration::from_micros(record.duration_us).as_secs_f64();
        let rate = u32::try_from(answered).map_or(0.0, f64::from) / seconds;
        for row in &mut load_rows {
            row.measures.insert("answered/s".to_owned(), rate);
        }
        rows.extend(load_rows);
    }
    environment.check_processes()?;
    drop(idle);
    drop(environment);
    Ok(rows)
}

fn measure_window(
    environment: &mut Environment,
    factor: Factor,
    value: f64,
    load: bool,
    during_window: impl FnOnce(&mut Environment),
) -> Result<Vec<Row>> {
    let before = load_average();
    let begin = Reading::take(environment, true)?;
    during_window(environment);
    let end = Reading::take(environment, false)?;
    let load_average = (before, load_average());
    let coordinators = end.coordinators();
    let (coordinating, forwarding): (Vec<String>, Vec<String>) =
        environment.names(Kind::Entry).into_iter().partition(|name| coordinators.contains(name));
    let roles = [
        ("coordinator", coordinating),
        ("forwarder", forwarding),
        ("target", environment.names(Kind::Target)),
        ("platform", vec![reading::PLATFORM.to_owned()]),
        ("callers", vec![reading::CALLERS.to_owned()]),
    ];
    let mut rows = Vec::new();
    for (role, names) in roles.into_iter().filter(|(_, names)| !names.is_empty()) {
        let process_measures: Vec<Measures> =
            names.iter().filter_map(|name| end.since(&begin, name)).collect();
        let processes = process_measures.len();
        let measures = means(&process_measures);
        rows.push(Row { factor, value, load, role, processes, load_average, measures });
    }
    Ok(rows)
}

/// Returns the mean of each measure over all processes. A process without the measure counts as 0.
pub fn means(process_measures: &[Measures]) -> Measures {
    let count = u32::try_from(process_measures.len()).map_or(1.0, f64::from);
    let mut sums: BTreeMap<String, f64> = BTreeMap::new();
    for (name, value) in process_measures.iter().flatten() {
        *sums.entry(name.clone()).or_insert(0.0) += value;
    }
    sums.into_iter().map(|(name, sum)| (name, sum / count)).collect()
}

/// Waits until no coordinator, shard owner or stored record has changed for [`SETTLE_TIME`].
fn wait_until_settled(environment: &Environment) -> Result<()> {
    let started = Instant::now();
    let mut changes = count_changes(environment)?;
    let mut last_change = Instant::now();
    while last_change.elapsed() < SETTLE_TIME {
        if started.elapsed() > SETTLE_TIMEOUT {
            return Err(Error::NotSettled(SETTLE_TIMEOUT.as_secs()));
        }
        std::thread::sleep(Duration::from_millis(200));
        let now = count_changes(environment)?;
        if (now - changes).abs() > 0.5 {
            changes = now;
            last_change = Instant::now();
        }
    }
    Ok(())
}

/// Returns the number of takeovers, ownership changes and store writes of all entry instances.
fn count_changes(environment: &Environment) -> Result<f64> {
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

/// Promotes the document at a constant rate for the length of a window.
fn promote(environment: &mut Environment, per_second: u32, window: Duration) {
    let interval = Duration::from_secs(1) / per_second;
    let end = Instant::now() + window;
    while Instant::now() < end {
        let next_promotion = Instant::now() + interval;
        if let Err(error) = environment.promote_again() {
            eprintln!("promotion failed: {error}");
        }
        std::thread::sleep(next_promotion.saturating_duration_since(Instant::now()));
    }
}

/// Returns the longest time in milliseconds from a promotion until its version is in force at every entry
/// instance.
fn longest_promotion_ms(environment: &mut Environment) -> Result<f64> {
    let mut longest_ms: f64 = 0.0;
    for _ in 0..MEASURED_PROMOTIONS {
        let started = Instant::now();
        environment.promote_again()?;
        let version = environment.revision();
        environment.wait_until("the version is in force", SETTLE_TIMEOUT, |environment| {
            let names = environment.names(Kind::Entry);
            names.iter().all(|name| version_in_force(environment, name) == Some(version))
        })?;
        longest_ms = longest_ms.max(started.elapsed().as_secs_f64() * 1000.0);
    }
    Ok(longest_ms)
}

fn version_in_force(environment: &Environment, name: &str) -> Option<u64> {
    let text = environment.admin_text(name, "/metrics").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("caraway_config_version "))?;
    line.parse().ok()
}

/// Opens caller connections that stay idle after one answered request.
fn idle_callers(environment: &Environment, count: usize) -> Result<Vec<TcpStream>> {
    let addresses = environment.entry_addresses(&[]);
    let open = |address: &SocketAddr| -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(b"GET /s1/idle HTTP/1.1\r\nhost: capacity\r\n\r\n")?;
        let mut response = [0; 2048];
        let bytes = stream.read(&mut response)?;
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
        seconds: (LOAD_MARGIN + window + LOAD_MARGIN).as_secs_f64(),
        arrival: Arrival::Open {
            rate: size.rate + size.orders,
            connections: MAX_CONNECTIONS,
            poisson: true,
        },
        keys: 1000,
        ..traffic::Options::default()
    };
    let entries = environment.entry_addresses(&[]);
    let mut profile = traffic::for_document(environment.document(), entries, &options);
    let method = if size.orders > 0.0 { "PUT" } else { "GET" };
    profile.kinds.retain(|kind| kind.method == method);
    profile
}

/// Returns the one-minute load average of the machine, or NaN if it cannot be read.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|value| value.parse().ok()).unwrap_or(f64::NAN)
}
