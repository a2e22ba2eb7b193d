//! The process: it starts the parts, waits for the planned stop and joins everything.

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use stakker::Stakker;
use stakker::actor;
use stakker::call;
use stakker::ret_nop;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::sync::watch;

use caraway_core::name;
use caraway_core::time::Clock;
use caraway_ownership::roster::Process;
use caraway_relay::observe::Observer;
use caraway_relay::router;
use caraway_relay::router::Router;
use caraway_relay::server;
use caraway_store::client;
use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;
use caraway_telemetry::metric::Metrics;

use crate::admin;
use crate::control::Control;
use crate::control::Parts;
use crate::directory::Member;
use crate::errors::Error;
use crate::errors::Result;
use crate::message::Message;
use crate::message::Outbox;
use crate::peers;
use crate::settings::Addresses;
use crate::settings::Settings;
use crate::signal;
use crate::storage;
use crate::target;
use caraway_entry::ledgers::Copies;

/// Longest time for a call to the store. The store answers in milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Messages between data path and control thread that may wait.
const CHANNEL: usize = 4096;

/// Longest sleep of the control thread without a message or timer.
const IDLE: Duration = Duration::from_millis(50);

/// Longest time that requests in flight may take to finish in a planned stop.
const FINISH: Duration = Duration::from_secs(60);

/// Runs the instance until its planned stop is complete.
///
/// # Errors
///
/// Fails if a listener, thread or the runtime cannot be started.
pub fn run(settings: &Settings, addresses: Addresses) -> Result<()> {
    let runtime = runtime()?;
    let me = member(settings, addresses);
    let (sender, messages) = channel();
    let outbox = Outbox::new(sender);
    let copies = Copies::new();
    let metrics = Arc::new(Metrics::new());
    let observer = Observer::new();
    let mut registry = prometheus_client::registry::Registry::default();
    observer.register(&mut registry);
    let (reports, report_queue) = mpsc::channel(CHANNEL);
    let (replication, replication_queue) = mpsc::channel(CHANNEL);
    let router = Router::new(
        router::Options {
            instance: me.process.instance.clone(),
            domain: me.domain.clone(),
            ..router::Options::default()
        },
        Clock,
        router::Channels { reports, replication },
        observer,
    );
    let (leaving, left) = watch::channel(false);
    let (finish, finishing) = watch::channel(false);
    let (listeners, admin_listener) = open(&runtime, addresses)?;
    let desk = admin::Desk {
        outbox: outbox.clone(),
        router: router.clone(),
        metrics: metrics.clone(),
        data_path: registry,
    };
    let service = peers::Service::new(outbox.clone(), copies.clone(), metrics.clone());
    runtime.spawn(admin::serve(admin_listener, Arc::new(desk)));
    let tasks = serve(&runtime, listeners, &router, service, (left, finishing));
    forward(&runtime, report_queue, outbox.clone(), Message::Report);
    forward(&runtime, replication_queue, outbox.clone(), Message::Replicate);
    let keys =
        storage::Keys { environment: settings.environment.clone(), stage: settings.stage.clone() };
    let options = client::Options {
        base_url: settings.store.clone(),
        domain: settings.failure_domain.clone(),
        timeout: STORE_TIMEOUT,
    };
    let (storage, threads) = storage::start(
        client::Client::new(options),
        keys,
        me.clone(),
        outbox.clone(),
        metrics.clone(),
    )?;
    let (stopped, mut stop_seen) = watch::channel(false);
    let parts = Parts {
        me: me.clone(),
        router,
        copies,
        metrics: metrics.clone(),
        caller: peers::Caller::new(runtime.handle().clone(), outbox.clone(), metrics.clone()),
        storage,
        runtime: target::Shared { runtime: runtime.handle().clone(), metrics },
        outbox: outbox.clone(),
        leaving,
        stopped,
    };
    let signals = signal::watch(outbox)?;
    let control = start_control(messages, parts)?;
    event::emit(LogEvent::ProcessStarted {
        instance: me.process.instance.clone(),
        domain: me.domain.clone(),
        incarnation: me.process.incarnation,
        version: env!("CARGO_PKG_VERSION").to_owned(),
    });
    // The control thread ends when a planned stop has handed everything over.
    let _ = runtime.block_on(stop_seen.wait_for(|stopped| *stopped));
    let began = Instant::now();
    finish.send_replace(true);
    runtime.block_on(async {
        for task in tasks {
            if tokio::time::timeout(FINISH, task).await.is_err() {
                log::warn!("requests in flight did not finish in time");
            }
        }
    });
    let stop_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    join(control, "control");
    threads.join();
    signals.join();
    event::emit(LogEvent::ProcessStopped { stop_ms });
    event::flush();
    runtime.shutdown_timeout(Duration::from_secs(1));
    Ok(())
}

fn runtime() -> Result<Runtime> {
    let failed =
        |error: std::io::Error| Error::Start { what: "runtime", problem: error.to_string() };
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(failed)
}

fn member(settings: &Settings, addresses: Addresses) -> Member {
    // The wall clock orders the incarnations of an instance also across a restart of its machine.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Member {
        process: Process {
            instance: name::Instance::new(&settings.instance),
            incarnation: u64::try_from(since_epoch.as_micros()).unwrap_or(0),
        },
        domain: name::Domain::new(&settings.failure_domain),
        control: addresses.control,
        peer: addresses.peer,
        admin: addresses.admin,
    }
}

struct Listeners {
    client: TcpListener,
    peer: TcpListener,
    control: TcpListener,
}

/// Opens the listeners; the last one is that of the admin interface.
fn open(runtime: &Runtime, addresses: Addresses) -> Result<(Listeners, TcpListener)> {
    let listen = |address: std::net::SocketAddr| {
        let failed = |error: std::io::Error| Error::Listen { address, problem: error.to_string() };
        runtime.block_on(TcpListener::bind(address)).map_err(failed)
    };
    let listeners = Listeners {
        client: listen(addresses.client)?,
        peer: listen(addresses.peer)?,
        control: listen(addresses.control)?,
    };
    Ok((listeners, listen(addresses.admin)?))
}

fn serve(
    runtime: &Runtime,
    listeners: Listeners,
    router: &Arc<Router>,
    service: peers::Service,
    (leaving, finishing): (watch::Receiver<bool>, watch::Receiver<bool>),
) -> Vec<tokio::task::JoinHandle<()>> {
    // The control thread gives callers their notice before it ends; peers have stopped forwarding then.
    let options = server::Options { grace_period: Duration::ZERO, ..server::Options::default() };
    let callers = server::Options {
        follow_document: true,
        side: server::Side::Caller,
        draining: Some(leaving),
        ..options.clone()
    };
    let forwarded = server::Options { follow_document: true, side: server::Side::Peer, ..options };
    let caller_task = server::serve(listeners.client, router.clone(), callers, finishing.clone());
    let peer_task = server::serve(listeners.peer, router.clone(), forwarded, finishing);
    let incoming = tonic::transport::server::TcpIncoming::from(listeners.control);
    let incoming = incoming.with_nodelay(Some(true));
    let control_task = async move {
        let server = tonic::transport::Server::builder().add_service(service.into_server());
        if let Err(error) = server.serve_with_incoming(incoming).await {
            log::error!("the control listener failed: {error}");
        }
    };
    // The control listener serves until the runtime ends, so that peers see this instance until then.
    runtime.spawn(control_task);
    vec![runtime.spawn(caller_task), runtime.spawn(peer_task)]
}

/// Passes what the data path sends on to the control thread.
fn forward<T: Send + 'static>(
    runtime: &Runtime,
    mut queue: mpsc::Receiver<T>,
    outbox: Outbox,
    wrap: fn(T) -> Message,
) {
    runtime.spawn(async move {
        while let Some(item) = queue.recv().await {
            outbox.send(wrap(item));
        }
    });
}

fn start_control(messages: Receiver<Message>, parts: Parts) -> Result<JoinHandle<()>> {
    let failed =
        |error: std::io::Error| Error::Start { what: "control", problem: error.to_string() };
    let builder = std::thread::Builder::new().name("control".to_owned());
    builder.spawn(move || turn(&messages, parts)).map_err(failed)
}

/// Runs the control actor until it stops itself.
fn turn(messages: &Receiver<Message>, parts: Parts) {
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let control = actor!(stakker, Control::init(parts), ret_nop!());
    stakker.run(Instant::now(), false);
    while !control.is_zombie() {
        let wait = stakker.next_wait_max(Instant::now(), IDLE, false);
        if let Ok(message) = messages.recv_timeout(wait) {
            call!([control], receive(message));
            while let Ok(message) = messages.try_recv() {
                call!([control], receive(message));
            }
        }
        stakker.run(Instant::now(), false);
    }
}

fn join(handle: JoinHandle<()>, name: &str) {
    if handle.join().is_err() {
        log::error!("the {name} thread panicked");
    }
}
