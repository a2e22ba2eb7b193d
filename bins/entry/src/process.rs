//! Process lifecycle: starts all components, waits for the planned stop and joins the threads.

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
use crate::control::Context;
use crate::control::Control;
use crate::directory::Member;
use crate::errors::Error;
use crate::errors::Result;
use crate::message::Mailbox;
use crate::message::Message;
use crate::peers;
use crate::settings::Addresses;
use crate::settings::Settings;
use crate::signal;
use crate::storage;
use crate::target;
use caraway_entry::ledgers::Copies;

/// Time limit for a call to the store, which normally answers in milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Capacity of each channel from the data path to the control thread, in messages.
const CHANNEL_CAPACITY: usize = 4096;

/// Maximum wait of the control thread for a message or timer.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Time limit for the requests in flight in a planned stop.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs the instance until a planned stop is complete.
///
/// # Errors
///
/// Fails if a listener, thread or the runtime cannot be started.
pub fn run(settings: &Settings, addresses: Addresses) -> Result<()> {
    let runtime = runtime()?;
    let me = member(settings, addresses);
    let (sender, messages) = channel();
    let mailbox = Mailbox::new(sender);
    let copies = Copies::new();
    let metrics = Arc::new(Metrics::new());
    let observer = Observer::new();
    let mut registry = prometheus_client::registry::Registry::default();
    observer.register(&mut registry);
    let (reports, report_queue) = mpsc::channel(CHANNEL_CAPACITY);
    let (replication, replication_queue) = mpsc::channel(CHANNEL_CAPACITY);
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
    let (leaving, leaving_receiver) = watch::channel(false);
    let (finish, finish_receiver) = watch::channel(false);
    let (listeners, admin_listener) = open(&runtime, addresses)?;
    let handler = admin::Handler {
        mailbox: mailbox.clone(),
        router: router.clone(),
        metrics: metrics.clone(),
        data_path_metrics: registry,
    };
    let service = peers::Service::new(mailbox.clone(), copies.clone(), metrics.clone());
    runtime.spawn(admin::serve(admin_listener, Arc::new(handler)));
    let tasks = serve(&runtime, listeners, &router, service, (leaving_receiver, finish_receiver));
    forward(&runtime, report_queue, mailbox.clone(), Message::Report);
    forward(&runtime, replication_queue, mailbox.clone(), Message::Replicate);
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
        mailbox.clone(),
        metrics.clone(),
    )?;
    let (stopped, mut stopped_receiver) = watch::channel(false);
    let context = Context {
        me: me.clone(),
        router,
        copies,
        metrics: metrics.clone(),
        peers: peers::Client::new(runtime.handle().clone(), mailbox.clone(), metrics.clone()),
        storage,
        targets: target::Context { runtime: runtime.handle().clone(), metrics },
        mailbox: mailbox.clone(),
        leaving,
        stopped,
    };
    let signals = signal::watch(mailbox)?;
    let control = start_control(messages, context)?;
    event::emit(LogEvent::ProcessStarted {
        instance: me.process.instance.clone(),
        domain: me.domain.clone(),
        incarnation: me.process.incarnation,
        version: env!("CARGO_PKG_VERSION").to_owned(),
    });
    // Set by the control thread when a planned stop has handed over all groups.
    let _ = runtime.block_on(stopped_receiver.wait_for(|stopped| *stopped));
    let stop_began = Instant::now();
    finish.send_replace(true);
    runtime.block_on(async {
        for task in tasks {
            if tokio::time::timeout(FINISH_TIMEOUT, task).await.is_err() {
                log::warn!("requests in flight did not finish within the time limit");
            }
        }
    });
    let stop_ms = u64::try_from(stop_began.elapsed().as_millis()).unwrap_or(u64::MAX);
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
    // The wall clock orders the incarnations of an instance even across a reboot of its host.
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

/// Opens the listeners; the second part of the result is the admin listener.
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
    (leaving, finish): (watch::Receiver<bool>, watch::Receiver<bool>),
) -> Vec<tokio::task::JoinHandle<()>> {
    // No grace period is needed here: the control thread ends only after callers have had time to
    // notice the stop, and peers have stopped forwarding by then.
    let options = server::Options { grace_period: Duration::ZERO, ..server::Options::default() };
    let callers = server::Options {
        follow_document: true,
        side: server::Side::Caller,
        draining: Some(leaving),
        ..options.clone()
    };
    let forwarded = server::Options { follow_document: true, side: server::Side::Peer, ..options };
    let caller_task = server::serve(listeners.client, router.clone(), callers, finish.clone());
    let peer_task = server::serve(listeners.peer, router.clone(), forwarded, finish);
    let incoming = tonic::transport::server::TcpIncoming::from(listeners.control);
    let incoming = incoming.with_nodelay(Some(true));
    let control_task = async move {
        let server = tonic::transport::Server::builder().add_service(service.into_server());
        if let Err(error) = server.serve_with_incoming(incoming).await {
            log::error!("control listener failed: {error}");
        }
    };
    // The control listener serves until the runtime shuts down, so that peers can reach this
    // instance until then.
    runtime.spawn(control_task);
    vec![runtime.spawn(caller_task), runtime.spawn(peer_task)]
}

/// Forwards the items of a data path channel to the control thread.
fn forward<T: Send + 'static>(
    runtime: &Runtime,
    mut queue: mpsc::Receiver<T>,
    mailbox: Mailbox,
    wrap: fn(T) -> Message,
) {
    runtime.spawn(async move {
        while let Some(item) = queue.recv().await {
            mailbox.send(wrap(item));
        }
    });
}

fn start_control(messages: Receiver<Message>, context: Context) -> Result<JoinHandle<()>> {
    let failed =
        |error: std::io::Error| Error::Start { what: "control", problem: error.to_string() };
    let builder = std::thread::Builder::new().name("control".to_owned());
    builder.spawn(move || run_control(&messages, context)).map_err(failed)
}

/// Runs the control actor until it terminates.
fn run_control(messages: &Receiver<Message>, context: Context) {
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let control = actor!(stakker, Control::init(context), ret_nop!());
    stakker.run(Instant::now(), false);
    while !control.is_zombie() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
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
