//! Life of the process: start, settings that change, stop.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_adapter::settings;
use caraway_adapter::settings::Settings;
use caraway_adapter::store;
use caraway_adapter::store::Transaction;
use caraway_core::time::Clock;
use caraway_core::time::millis;
use caraway_fleet::reports::Reports;
use caraway_telemetry::background::Dropped;
use caraway_telemetry::background::Writer;
use caraway_telemetry::event;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;
use caraway_telemetry::logger;

use crate::feed;
use crate::ingress;
use crate::leader;
use crate::peers;
use crate::state::Instance;
use crate::state::State;
use crate::store::send;

/// Part of the time between the stop signal and the kill in which a stopping instance still takes
/// requests. The platform asks once a second and takes it out after two misses; callers whose
/// connections are open need the rest of the time for their last answers.
const OPEN_SHARE: f64 = 0.45;

/// Time before the platform's kill at which the process ends whatever is still under way.
const LAST_MOMENT: Duration = Duration::from_millis(250);

/// Time between looks at the settings file, which may change without a signal.
const RELOAD: Duration = Duration::from_secs(5);

/// Reads and checks the settings.
///
/// # Errors
///
/// Returns all findings.
pub fn read_settings(path: &Path) -> Result<Settings, Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|error| vec![error.to_string()])?;
    settings::read(&text).map_err(|report| {
        let line = |finding: &caraway_core::finding::Finding| finding.to_string();
        report.findings().iter().map(line).collect()
    })
}

/// Runs until a planned stop is finished.
///
/// # Errors
///
/// Fails if a listener cannot be opened or the log cannot be started.
pub fn run(path: &Path, settings: Settings) -> io::Result<()> {
    let (writer, dropped, _thread) = Writer::start(io::stdout())?;
    let output = logger::install_background(writer);
    output.map_err(|error| io::Error::other(error.to_string()))?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, serve(path, settings, dropped));
    event::flush();
    log::logger().flush();
    // The log's thread has the lines; it needs a moment to write them.
    std::thread::sleep(Duration::from_millis(20));
    result
}

async fn serve(path: &Path, settings: Settings, dropped: Dropped) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let on_port = |port| SocketAddr::new(settings.ip, port);
    let callers = ingress::listen(settings.client_address)?;
    let readiness = ingress::listen(settings.readiness_address)?;
    let instances = ingress::listen(on_port(settings.peer_port))?;
    let metrics = ingress::listen(on_port(settings.metrics_port))?;
    emit(Event::EdgeStarted {
        instance: settings.name.to_string(),
        domain: settings.domain.to_string(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
    });
    let state = Rc::new(State::new(settings));
    let reports = Rc::new(RefCell::new(Reports::default()));
    let (closing, closed) = watch::channel(false);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(ingress::readiness(state.clone(), readiness));
    tasks.spawn_local(ingress::instances(state.clone(), reports.clone(), instances));
    tasks.spawn_local(ingress::metrics(state.clone(), metrics));
    tasks.spawn_local(feed::run(state.clone()));
    tasks.spawn_local(register(state.clone()));
    tasks.spawn_local(peers::run(state.clone(), reports.clone()));
    tasks.spawn_local(housekeeping(state.clone(), dropped));
    let coordinate = tokio::task::spawn_local(leader::run(state.clone(), reports));
    let serving = tokio::task::spawn_local(ingress::callers(state.clone(), callers, closed));
    let mut text = std::fs::read_to_string(path).unwrap_or_default();
    let name = loop {
        tokio::select! {
            _ = terminate.recv() => break "SIGTERM",
            _ = interrupt.recv() => break "SIGINT",
            _ = hangup.recv() => reload(path, &mut text, &state, true),
            () = sleep(RELOAD) => reload(path, &mut text, &state, false),
        }
    };
    emit(Event::StopRequested { signal: name.to_owned() });
    let began = Instant::now();
    let stop = stop(&state, &closing, async {
        // Both tasks end by themselves once the process is stopping.
        let _ = coordinate.await;
        let _ = serving.await;
    });
    tokio::select! {
        () = stop => {}
        _ = terminate.recv() => emit(Event::StopForced { signal: name.to_owned() }),
        _ = interrupt.recv() => emit(Event::StopForced { signal: name.to_owned() }),
    }
    let stop_ms = millis(began.elapsed());
    emit(Event::ProcessStopped { stop_ms });
    let mut probes = state.probes.take();
    probes.shutdown().await;
    tasks.shutdown().await;
    Ok(())
}

/// Stops: out of rotation first, then no idle connections, then no requests.
async fn stop(state: &State, closing: &watch::Sender<bool>, ended: impl Future<Output = ()>) {
    state.stopping.set(true);
    state.leader_changed.notify_waiters();
    let grace = state.settings.shutdown_grace;
    let open = grace.mul_f64(OPEN_SHARE);
    let left = grace.saturating_sub(open).saturating_sub(LAST_MOMENT);
    let mut ended = std::pin::pin!(ended);
    tokio::select! {
        () = sleep(open) => {}
        () = ended.as_mut() => return,
    }
    // The receivers are the connections; there may be none.
    let _ = closing.send(true);
    // Requests that are still under way then are cut by the platform's kill in any case.
    let _ = timeout(left, ended).await;
}

/// Takes up changes of the settings file. Addresses and bounds stay as they were at the start: the
/// platform restarts the process to change them.
fn reload(path: &Path, text: &mut String, state: &State, signalled: bool) {
    let read = std::fs::read_to_string(path);
    let result = match &read {
        Err(error) => error.to_string(),
        Ok(new) if new == text && !signalled => return,
        Ok(new) => match settings::read(new) {
            Ok(settings) if settings == state.settings => "nothing that is used changed".to_owned(),
            Ok(_) => "changes take effect at the next start".to_owned(),
            Err(report) => format!("{} findings, the old ones stay", report.findings().len()),
        },
    };
    if let Ok(new) = read {
        *text = new;
    }
    emit(Event::SettingsReloaded { result });
}

/// Registers this instance's address for the others. The entry has no lease: an instance that does
/// not answer is found out by calling it, and an outage of the store removes nobody.
async fn register(state: Rc<State>) {
    let key = format!("{}{}", feed::INSTANCES, state.settings.name);
    let address = SocketAddr::new(state.settings.ip, state.settings.peer_port);
    let instance = Instance { address, processor: state.settings.cpu_share };
    let value = serde_json::to_vec(&instance).unwrap_or_default();
    loop {
        let known = state.instances.borrow().get(&state.settings.name) == Some(&instance);
        if !known && state.heard.get().is_some() {
            let puts = vec![(key.as_str(), value.as_slice(), 0)];
            let call = store::change(&Transaction { puts, ..Transaction::default() });
            let error = match send(&state, &call, "register", Duration::ZERO).await {
                Ok((200, _)) => {
                    state.instances.borrow_mut().insert(state.settings.name.clone(), instance);
                    None
                }
                Ok((status, _)) => Some(format!("the store answered {status}")),
                Err(error) => Some(error.to_string()),
            };
            if let Some(error) = error {
                emit(Event::TaskFailed { task: "registration".to_owned(), error });
            }
        }
        sleep(Duration::from_millis(700)).await;
    }
}

/// Reports counts once a second, and pauses of the process.
async fn housekeeping(state: Rc<State>, dropped: Dropped) {
    let mut reported = 0;
    let mut last = Clock.now();
    loop {
        sleep(Duration::from_secs(1)).await;
        let now = Clock.now();
        let pause = now.since(last).saturating_sub(Duration::from_secs(1));
        if pause > Duration::from_millis(500) {
            let pause_ms = millis(pause);
            emit(Event::ProcessPaused { pause_ms });
        }
        last = now;
        while state.probes.borrow_mut().try_join_next().is_some() {}
        event::flush();
        let metrics = &state.metrics;
        let count = dropped.count();
        if count > reported {
            reported = count;
            emit(Event::LinesDropped { count });
        }
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.dropped.set(number(count));
        metrics.version.set(number(state.version()));
        metrics.leading.set(i64::from(state.leading.get()));
        let silence = state.heard.get().map_or(Duration::ZERO, |heard| now.since(heard));
        metrics.silence.set(i64::try_from(silence.as_millis()).unwrap_or(i64::MAX));
    }
}
