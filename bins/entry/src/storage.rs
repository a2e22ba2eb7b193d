//! Threads that make the blocking calls to the platform for the control plane.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;

use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_store::client::Client;
use caraway_store::client::Completion;
use caraway_store::client::Kind;
use caraway_store::client::Observer;
use caraway_store::declaration;
use caraway_store::errors::Error;
use caraway_store::record;
use caraway_store::write;
use caraway_store::write::Outcome;
use caraway_telemetry::event;
use caraway_telemetry::event::Event;
use caraway_telemetry::metric::Call;
use caraway_telemetry::metric::CallResult;
use caraway_telemetry::metric::Metrics;

use crate::declaration::Snapshot;
use crate::directory::Member;
use crate::domain;
use crate::domain::Change;
use crate::errors;
use crate::message::Mailbox;
use crate::message::Message;

/// Time limit of one long-polling watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed watch call, and polling interval for new jobs and for the watching flag.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between reads of the platform's instance list and of the operators' declarations.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// Response to a platform call, or its failure.
#[derive(Debug)]
pub enum Response {
    /// The domain record was changed, or the record permits none of the changes.
    Changed {
        /// Time at which the call began.
        began: Stamp,
        /// Revision of the record.
        revision: u64,
        /// Contents of the record.
        record: record::Domain,
        /// Changes that were applied; empty if none was permitted.
        applied: Vec<Change>,
    },
    /// The change failed, or it is unknown whether it took effect.
    ChangeFailed {
        /// True if the store did not respond.
        unavailable: bool,
    },
    /// A domain record was read.
    Record {
        /// Failure domain of the record.
        domain: name::Domain,
        /// Time at which the read began.
        began: Stamp,
        /// Revision of the record.
        revision: u64,
        /// Contents of the record.
        record: record::Domain,
    },
    /// The document was read.
    Document {
        /// Version of the document.
        version: u64,
        /// Text of the document.
        text: String,
    },
    /// The platform's instance list and the operators' declarations were read.
    Instances {
        /// Names of leaving instances and targets.
        leaving: Vec<String>,
        /// Names that are gone according to the list or declared gone by an operator.
        gone: Vec<String>,
    },
    /// The store answered without new data.
    Unchanged,
    /// The call failed.
    Failed,
}

#[derive(Debug)]
enum Job {
    Change(Vec<Change>, Option<(u64, record::Domain)>),
    ReadDomain(name::Domain),
    ReadDocument,
}

/// Store keys of the environment.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Name of the environment.
    pub environment: String,
    /// Stage of the document.
    pub stage: String,
}

impl Keys {
    fn document(&self) -> String {
        format!("environments/{}/{}", self.environment, self.stage)
    }

    fn domain(&self, domain: &name::Domain) -> String {
        format!("domains/{}/{domain}", self.environment)
    }

    fn declarations(&self, domain: &name::Domain) -> String {
        declaration::key(&self.environment, domain.as_str())
    }
}

/// Handle to the platform threads.
#[derive(Debug)]
pub struct Storage {
    changes: Sender<Job>,
    reads: Sender<Job>,
    watching: Arc<AtomicBool>,
}

/// Join handles of the platform threads.
#[derive(Debug)]
pub struct Threads {
    handles: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Threads {
    /// Stops and joins the threads. Calls in flight end at the latest with their time limit.
    pub fn join(self) {
        self.stop.store(true, Ordering::Release);
        for handle in self.handles {
            if handle.join().is_err() {
                log::error!("a platform thread panicked");
            }
        }
    }
}

#[derive(Clone)]
struct Worker {
    client: Client,
    keys: Keys,
    me: Member,
    mailbox: Mailbox,
    stop: Arc<AtomicBool>,
    watching: Arc<AtomicBool>,
}

/// Starts the threads: one for changes, one for reads, and three that watch while watching is
/// enabled.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start(
    client: Client,
    keys: Keys,
    me: Member,
    mailbox: Mailbox,
    metrics: Arc<Metrics>,
) -> errors::Result<(Storage, Threads)> {
    let client = client.with_observer(Observer::new(move |kind, completion| {
        metrics.record_store_call(label(kind), result_label(completion));
    }));
    let stop = Arc::new(AtomicBool::new(false));
    let watching = Arc::new(AtomicBool::new(false));
    let (changes, change_jobs) = channel();
    let (reads, read_jobs) = channel();
    let worker =
        Worker { client, keys, me, mailbox, stop: stop.clone(), watching: watching.clone() };
    let (a, b, c, d, e) = (worker.clone(), worker.clone(), worker.clone(), worker.clone(), worker);
    let handles = vec![
        spawn("store-change", move || a.serve(&change_jobs))?,
        spawn("store-read", move || b.serve(&read_jobs))?,
        spawn("store-watch-document", move || c.watch_document())?,
        spawn("store-watch-domain", move || d.watch_domain())?,
        spawn("platform-list", move || e.watch_list())?,
    ];
    Ok((Storage { changes, reads, watching }, Threads { handles, stop }))
}

fn spawn<F: FnOnce() + Send + 'static>(
    name: &'static str,
    body: F,
) -> errors::Result<JoinHandle<()>> {
    let failed =
        |error: std::io::Error| errors::Error::Start { what: name, problem: error.to_string() };
    std::thread::Builder::new().name(name.to_owned()).spawn(body).map_err(failed)
}

impl Storage {
    /// Changes the own domain record; the result arrives as [`Response::Changed`] or
    /// [`Response::ChangeFailed`].
    ///
    /// `known` is the latest known record with its revision.
    pub fn change(&self, changes: Vec<Change>, known: Option<(u64, record::Domain)>) {
        self.send(&self.changes, Job::Change(changes, known));
    }

    /// Reads a domain record; the result arrives as [`Response::Record`] or
    /// [`Response::Failed`].
    pub fn read_domain(&self, domain: name::Domain) {
        self.send(&self.reads, Job::ReadDomain(domain));
    }

    /// Reads the document; it arrives as [`Response::Document`].
    pub fn read_document(&self) {
        self.send(&self.reads, Job::ReadDocument);
    }

    /// Sets whether this instance watches the store for its failure domain.
    pub fn set_watching(&self, watching: bool) {
        self.watching.store(watching, Ordering::Release);
    }

    fn send(&self, queue: &Sender<Job>, job: Job) {
        if queue.send(job).is_err() {
            log::debug!("the platform threads have ended; dropping a call");
        }
    }
}

impl Worker {
    fn serve(&self, jobs: &Receiver<Job>) {
        while !self.stop.load(Ordering::Acquire) {
            let Ok(job) = jobs.recv_timeout(POLL_INTERVAL) else { continue };
            let response = match job {
                Job::Change(changes, known) => self.change(&changes, known),
                Job::ReadDomain(domain) => self.read_domain(&domain),
                Job::ReadDocument => self.read_document(),
            };
            self.mailbox.send(Message::Store(response));
        }
    }

    fn change(&self, changes: &[Change], known: Option<(u64, record::Domain)>) -> Response {
        let began = Clock.now();
        let key = self.keys.domain(&self.me.domain);
        let mut applied = Vec::new();
        let process = &self.me.process;
        let mut write_id = || next_write_id(process.instance.as_str(), process.incarnation);
        let mut apply = |record: &mut record::Domain| {
            applied.clear();
            for change in changes {
                if domain::apply(change, record) {
                    applied.push(change.clone());
                }
            }
            !applied.is_empty()
        };
        let outcome = write::change(&self.client, &key, known, &mut write_id, &mut apply);
        match outcome {
            Ok(Outcome::Written { revision, record }) => {
                Response::Changed { began, revision, record, applied }
            }
            Ok(Outcome::Unchanged { revision, record }) => {
                Response::Changed { began, revision, record, applied: Vec::new() }
            }
            Ok(Outcome::Lost) => Response::ChangeFailed { unavailable: false },
            Err(error) => {
                log::debug!("change of the domain record failed: {error}");
                Response::ChangeFailed { unavailable: error.is_unanswered() }
            }
        }
    }

    fn read_domain(&self, domain: &name::Domain) -> Response {
        let began = Clock.now();
        match write::read(&self.client, &self.keys.domain(domain)) {
            Ok((revision, record)) => {
                Response::Record { domain: domain.clone(), began, revision, record }
            }
            Err(error) => failed(&error),
        }
    }

    fn read_document(&self) -> Response {
        match self.client.get(&self.keys.document()) {
            Ok(Some(value)) => match value.value {
                Some(text) => Response::Document { version: value.revision, text },
                None => Response::Unchanged,
            },
            Ok(None) => Response::Unchanged,
            Err(error) => failed(&error),
        }
    }

    fn watch_document(&self) {
        self.watch(&self.keys.document(), &|worker| worker.read_document());
    }

    fn watch_domain(&self) {
        let domain = self.me.domain.clone();
        self.watch(&self.keys.domain(&domain), &|worker| worker.read_domain(&domain));
    }

    fn watch(&self, key: &str, read: &dyn Fn(&Self) -> Response) {
        let mut after = 0;
        while !self.stop.load(Ordering::Acquire) {
            if !self.watching.load(Ordering::Acquire) {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            match self.client.watch(key, after, WATCH_TIMEOUT) {
                Ok(changes) => {
                    after = changes.revision;
                    let changed = changes.changes.iter().any(|change| change.key == key);
                    let response = if changed { read(self) } else { Response::Unchanged };
                    self.mailbox.send(Message::Store(response));
                }
                Err(error) => {
                    self.mailbox.send(Message::Store(failed(&error)));
                    std::thread::sleep(POLL_INTERVAL);
                }
            }
        }
    }

    fn watch_list(&self) {
        let mut declarations = Snapshot::new();
        while !self.stop.load(Ordering::Acquire) {
            if self.watching.load(Ordering::Acquire) {
                let response = self.read_list(&mut declarations);
                self.mailbox.send(Message::Store(response));
            }
            std::thread::sleep(LIST_PERIOD);
        }
    }

    /// Reads the declarations and the list. A failure of one does not discard the other: operators
    /// may declare an instance gone because the list is unavailable.
    fn read_list(&self, declarations: &mut Snapshot) -> Response {
        let key = self.keys.declarations(&self.me.domain);
        let read = declaration::read(&self.client, &key);
        let answered = read.is_ok();
        match read {
            Ok((_, read)) => {
                for gone in declarations.replace(read) {
                    let source = format!("{} ({})", gone.source, gone.reason);
                    event::emit(Event::DeclaredGone { what: gone.name, source });
                }
            }
            Err(error) => log::debug!("cannot read the declarations: {error}"),
        }
        let list = match self.client.instances() {
            Ok(list) => list,
            Err(error) if answered => {
                log::debug!("cannot read the platform's instance list: {error}");
                Vec::new()
            }
            Err(error) => return failed(&error),
        };
        let mut gone = names_in_state(&list, &self.me.domain, "gone");
        gone.extend(declarations.names().cloned());
        Response::Instances { leaving: names_in_state(&list, &self.me.domain, "leaving"), gone }
    }
}

fn names_in_state(
    list: &[caraway_store::client::Instance],
    domain: &name::Domain,
    state: &str,
) -> Vec<String> {
    list.iter()
        .filter(|row| row.failure_domain == domain.as_str() && row.state == state)
        .map(|row| row.name.clone())
        .collect()
}

fn failed(error: &Error) -> Response {
    log::debug!("call to the platform failed: {error}");
    Response::Failed
}

fn label(kind: Kind) -> Call {
    match kind {
        Kind::Get => Call::Get,
        Kind::Put => Call::Put,
        Kind::Watch => Call::Watch,
        Kind::Instances => Call::Instances,
    }
}

fn result_label(completion: Completion) -> CallResult {
    match completion {
        Completion::Done => CallResult::Ok,
        Completion::Conflict => CallResult::Conflict,
        Completion::Failed => CallResult::Failed,
        Completion::Ambiguous => CallResult::Ambiguous,
    }
}

/// Returns a unique write ID.
fn next_write_id(instance: &str, incarnation: u64) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!("{instance}-{incarnation}-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}
