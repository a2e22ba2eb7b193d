//! Process lifecycle: startup, settings reloads, graceful shutdown.

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

use caraway_adapter::settings;
use caraway_adapter::settings::Settings;
use caraway_adapter::store;
use caraway_adapter::store::Transaction;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::era::Revision;
use caraway_fleet::reports::Reports;
use caraway_fleet::stop::Schedule;
use caraway_fleet::stop::Stop;
use caraway_telemetry::background::Dropped;
use caraway_telemetry::background::Writer;
use caraway_telemetry::event;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;
use caraway_telemetry::logger;

use crate::capacity::Monitor;
use crate::forward;
use crate::ingress;
use crate::leader;
use crate::peers;
use crate::probe::settle_completions;
use crate::state::Instance;
use crate::state::State;
use crate::store::send;
use crate::sync;

/// Interval of checks for changes of the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Reads and checks the settings.
///
/// # Errors
///
/// Returns all findings, or the error of reading the file.
pub fn read_settings(path: &Path) -> Result<Settings, Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|error| vec![error.to_string()])?;
    settings::read(&text).map_err(|report| {
        let line = |finding: &caraway_core::finding::Finding| finding.to_string();
        report.findings().iter().map(line).collect()
    })
}

/// Runs the instance until a graceful stop is complete.
///
/// # Errors
///
/// Fails if the log cannot be started or a listener cannot be opened.
pub fn run(path: &Path, settings: Settings) -> io::Result<()> {
    let (writer, dropped, _thread) = Writer::start(io::stdout())?;
    let output = logger::install_background(writer);
    output.map_err(|error| io::Error::other(error.to_string()))?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, serve(path, settings, dropped));
    event::flush();
    log::logger().flush();
    // Gives the background thread of the log time to write the queued lines.
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
    tasks.spawn_local(sync::run(state.clone()));
    tasks.spawn_local(register(state.clone()));
    tasks.spawn_local(peers::run(state.clone(), reports.clone()));
    tasks.spawn_local(housekeeping(state.clone(), dropped));
    tasks.spawn_local(settle_completions(state.clone()));
    let coordinate = tokio::task::spawn_local(leader::run(state.clone(), reports));
    let serving = tokio::task::spawn_local(ingress::callers(state.clone(), callers, closed));
    let mut text = std::fs::read_to_string(path).unwrap_or_default();
    let name = loop {
        tokio::select! {
            _ = terminate.recv() => break "SIGTERM",
            _ = interrupt.recv() => break "SIGINT",
            _ = hangup.recv() => reload(path, &mut text, &state, true),
            () = sleep(RELOAD_INTERVAL) => reload(path, &mut text, &state, false),
        }
    };
    emit(Event::StopRequested { signal: name.to_owned() });
    let began = Instant::now();
    let stop = shut_down(&state, &closing, async {
        // Both tasks end by themselves once the process is stopping; a panic in them ends the wait as well.
        let _ = coordinate.await;
        let _ = serving.await;
    });
    let mut stop = std::pin::pin!(stop);
    loop {
        tokio::select! {
            () = stop.as_mut() => break,
            // The platform may repeat its signal; requests in flight still have the rest of the grace period.
            _ = terminate.recv() => {
                emit(Event::StopRepeated { stop_ms: millis(began.elapsed()) });
            }
            // Only a person at a terminal sends this one.
            _ = interrupt.recv() => {
                emit(Event::StopForced { signal: "SIGINT".to_owned() });
                break;
            }
        }
    }
    let stop_ms = millis(began.elapsed());
    emit(Event::ProcessStopped { stop_ms });
    let mut probes = state.crash_probes.take();
    probes.shutdown().await;
    tasks.shutdown().await;
    Ok(())
}

/// Stops gracefully: fails readiness checks first while still accepting requests, then closes the listener and idle
/// connections, and waits for requests in flight. `ended` completes when all connections have closed.
async fn shut_down(state: &State, closing: &watch::Sender<bool>, ended: impl Future<Output = ()>) {
    let grace = state.settings.shutdown_grace;
    let schedule = Schedule::new(Clock.now(), grace, forward::DEADLINE_GRACE);
    state.shutdown.begin(schedule);
    state.leader_changed.notify_waiters();
    let mut ended = std::pin::pin!(ended);
    let stop = Stop::begin(schedule);
    tokio::select! {
        () = sleep_until(stop.end()) => {}
        () = ended.as_mut() => return,
    }
    let stop = stop.close();
    record_stage(state, schedule, "draining");
    // Fails only if there are no receivers, that is, no listener and no connections.
    let _ = closing.send(true);
    tokio::select! {
        () = sleep_until(stop.end()) => {}
        () = ended.as_mut() => return,
    }
    let stop = stop.fail();
    record_stage(state, schedule, "failing");
    state.shutdown.fail_requests();
    // Responses that are still being forwarded at the end are cut off; the platform's kill would do the same.
    tokio::select! {
        () = sleep_until(stop.end()) => {}
        () = ended.as_mut() => {}
    }
}

async fn sleep_until(end: Stamp) {
    sleep(end.since(Clock.now())).await;
}

fn record_stage(state: &State, schedule: Schedule, stage: &str) {
    emit(Event::StopProgressed {
        stage: stage.to_owned(),
        in_flight: u64::try_from(state.metrics.in_flight.get()).unwrap_or(0),
        connections: ingress::open_connections(state),
        stop_ms: millis(schedule.elapsed(Clock.now())),
    });
}

/// Checks the settings file for changes and logs the result. Changes take effect only after a
/// restart: the platform restarts the process to change addresses and bounds.
fn reload(path: &Path, text: &mut String, state: &State, signalled: bool) {
    let read = std::fs::read_to_string(path);
    let result = match &read {
        Err(error) => error.to_string(),
        Ok(new) if new == text && !signalled => return,
        Ok(new) => match settings::read(new) {
            Ok(settings) if settings == state.settings => "no effective change".to_owned(),
            Ok(_) => "changes take effect after a restart".to_owned(),
            Err(report) => {
                format!("{} findings; keeping the current settings", report.findings().len())
            }
        },
    };
    if let Ok(new) = read {
        *text = new;
    }
    emit(Event::SettingsReloaded { result });
}

/// Registers this instance for the others. The registration has no lease, so that an outage of the
/// store removes no instance; an instance that has failed is detected by calling it.
async fn register(state: Rc<State>) {
    let key = format!("{}{}", sync::INSTANCE_PREFIX, state.settings.name);
    let address = SocketAddr::new(state.settings.ip, state.settings.peer_port);
    let instance = Instance {
        address,
        domain: state.settings.domain.clone(),
        cpu_share: state.settings.cpu_share,
    };
    let value = serde_json::to_vec(&instance).unwrap_or_default();
    // Era in which the registration was written.
    let mut era = None;
    loop {
        let listed = state.instances.borrow().get(&state.settings.name) == Some(&instance);
        if listed && era.is_none() {
            era = Some(state.era());
        }
        // A restored registration may be lost by another restoration soon, so it is written again.
        let registered = listed && era == Some(state.era());
        if !registered && state.last_store_response.get().is_some() {
            state.wait_for_store().await;
            let puts = vec![(key.as_str(), value.as_slice(), 0)];
            let call = store::change(&Transaction { puts, ..Transaction::default() });
            let error = match send(&state, &call, "register", Duration::ZERO).await {
                Ok((200, body)) => {
                    let revision = match store::parse_change(200, &body) {
                        Ok(store::Change::Applied(revision)) => {
                            Revision::new(state.era(), revision)
                        }
                        _ => state.revision.get(),
                    };
                    let registration = Some(instance.clone());
                    state.record_instance(&state.settings.name, registration, revision);
                    era = Some(revision.era);
                    None
                }
                Ok((status, _)) => Some(format!("the store responded with status {status}")),
                Err(error) => Some(error.to_string()),
            };
            if let Some(error) = error {
                emit(Event::TaskFailed { task: "registration".to_owned(), error });
            }
        }
        sleep(Duration::from_millis(700)).await;
    }
}

/// Updates metrics, logs pauses of the process and collects finished tasks, once a second.
async fn housekeeping(state: Rc<State>, dropped: Dropped) {
    let mut logged_drops = 0;
    let mut last = Clock.now();
    let mut capacity = Monitor::default();
    loop {
        sleep(Duration::from_secs(1)).await;
        let now = Clock.now();
        let pause = now.since(last).saturating_sub(Duration::from_secs(1));
        if pause > Duration::from_millis(500) {
            let pause_ms = millis(pause);
            emit(Event::ProcessPaused { pause_ms });
        }
        last = now;
        while state.crash_probes.borrow_mut().try_join_next().is_some() {}
        capacity.update(&state, now);
        event::flush();
        let metrics = &state.metrics;
        let count = dropped.count();
        if count > logged_drops {
            logged_drops = count;
            emit(Event::LinesDropped { count });
        }
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.dropped_lines.set(number(count));
        metrics.config_version.set(number(state.version()));
        metrics.memory_used.set(number(state.memory.used()));
        metrics.store_era.set(number(state.era()));
        metrics.coordinator.set(i64::from(state.leading.get()));
        let silence = state.last_store_response.get().map_or(Duration::ZERO, |at| now.since(at));
        metrics.view_age_ms.set(number(millis(state.view_age())));
        metrics.store_silence_ms.set(i64::try_from(silence.as_millis()).unwrap_or(i64::MAX));
    }
}
