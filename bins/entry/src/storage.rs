//! Threads that call the platform for the control plane. Each blocks in its calls.

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

use crate::declaration::Known;
use crate::directory::Member;
use crate::domain;
use crate::domain::Change;
use crate::errors;
use crate::message::Message;
use crate::message::Outbox;

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed call, and between looks at whether this instance watches.
const PAUSE: Duration = Duration::from_millis(200);

/// Time between two reads of the platform's instance list and of the operators' declarations.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// What came of a call.
#[derive(Debug)]
pub enum Done {
    /// The domain record was changed, or the changes do not apply to it.
    Changed {
        /// When the call began.
        began: Stamp,
        /// Revision of the record.
        revision: u64,
        /// The record.
        record: record::Domain,
        /// Changes that were written.
        applied: Vec<Change>,
    },
    /// The change was not made, or it is not known whether it was.
    ChangeFailed {
        /// True if the store did not answer.
        unavailable: bool,
    },
    /// A domain record was read.
    Record {
        /// The failure domain.
        domain: name::Domain,
        /// When the read began.
        began: Stamp,
        /// Revision of the record.
        revision: u64,
        /// The record.
        record: record::Domain,
    },
    /// The document was read.
    Document {
        /// Its version.
        version: u64,
        /// Its text.
        text: String,
    },
    /// The platform's instance list and the operators' declarations were read.
    Instances {
        /// Names that are leaving.
        leaving: Vec<String>,
        /// Names that are gone: those of the list and those that are declared gone.
        gone: Vec<String>,
    },
    /// The store answered and there was nothing to tell.
    Nothing,
    /// The store did not answer.
    Failed,
}

#[derive(Debug)]
enum Job {
    Change(Vec<Change>, Option<(u64, record::Domain)>),
    ReadDomain(name::Domain),
    ReadDocument,
}

/// Where the environment is stored.
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

/// Handle to the threads.
#[derive(Debug)]
pub struct Storage {
    changes: Sender<Job>,
    reads: Sender<Job>,
    watching: Arc<AtomicBool>,
}

/// The threads, joined at the end of the process.
#[derive(Debug)]
pub struct Threads {
    handles: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Threads {
    /// Ends the threads. Calls that wait for the platform end with their time limit.
    pub fn join(self) {
        self.stop.store(true, Ordering::Release);
        for handle in self.handles {
            if handle.join().is_err() {
                log::error!("a thread of the store client panicked");
            }
        }
    }
}

#[derive(Clone)]
struct Worker {
    client: Client,
    keys: Keys,
    me: Member,
    outbox: Outbox,
    stop: Arc<AtomicBool>,
    watching: Arc<AtomicBool>,
}

/// Starts the threads: one for changes, one for reads, and three that watch if this instance is to watch.
///
/// # Errors
///
/// Fails if the system refuses a thread.
pub fn start(
    client: Client,
    keys: Keys,
    me: Member,
    outbox: Outbox,
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
        Worker { client, keys, me, outbox, stop: stop.clone(), watching: watching.clone() };
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
    /// Changes the own domain record; the result is [`Done::Changed`] or [`Done::ChangeFailed`].
    ///
    /// `known` is the record as last seen, with its revision.
    pub fn change(&self, changes: Vec<Change>, known: Option<(u64, record::Domain)>) {
        self.send(&self.changes, Job::Change(changes, known));
    }

    /// Reads a domain record.
    pub fn read_domain(&self, domain: name::Domain) {
        self.send(&self.reads, Job::ReadDomain(domain));
    }

    /// Reads the document.
    pub fn read_document(&self) {
        self.send(&self.reads, Job::ReadDocument);
    }

    /// Says whether this instance watches the store for its failure domain.
    pub fn set_watching(&self, watching: bool) {
        self.watching.store(watching, Ordering::Release);
    }

    fn send(&self, queue: &Sender<Job>, job: Job) {
        if queue.send(job).is_err() {
            log::debug!("the threads of the store client have ended; a call is dropped");
        }
    }
}

impl Worker {
    fn serve(&self, jobs: &Receiver<Job>) {
        while !self.stop.load(Ordering::Acquire) {
            let Ok(job) = jobs.recv_timeout(PAUSE) else { continue };
            let done = match job {
                Job::Change(changes, known) => self.change(&changes, known),
                Job::ReadDomain(domain) => self.read_domain(&domain),
                Job::ReadDocument => self.read_document(),
            };
            self.outbox.send(Message::Store(done));
        }
    }

    fn change(&self, changes: &[Change], known: Option<(u64, record::Domain)>) -> Done {
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
                Done::Changed { began, revision, record, applied }
            }
            Ok(Outcome::Unchanged { revision, record }) => {
                Done::Changed { began, revision, record, applied: Vec::new() }
            }
            Ok(Outcome::Lost) => Done::ChangeFailed { unavailable: false },
            Err(error) => {
                log::debug!("change of the domain record failed: {error}");
                Done::ChangeFailed { unavailable: error.is_unanswered() }
            }
        }
    }

    fn read_domain(&self, domain: &name::Domain) -> Done {
        let began = Clock.now();
        match write::read(&self.client, &self.keys.domain(domain)) {
            Ok((revision, record)) => {
                Done::Record { domain: domain.clone(), began, revision, record }
            }
            Err(error) => failed(&error),
        }
    }

    fn read_document(&self) -> Done {
        match self.client.get(&self.keys.document()) {
            Ok(Some(value)) => match value.value {
                Some(text) => Done::Document { version: value.revision, text },
                None => Done::Nothing,
            },
            Ok(None) => Done::Nothing,
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

    fn watch(&self, key: &str, read: &dyn Fn(&Self) -> Done) {
        let mut after = 0;
        while !self.stop.load(Ordering::Acquire) {
            if !self.watching.load(Ordering::Acquire) {
                std::thread::sleep(PAUSE);
                continue;
            }
            match self.client.watch(key, after, WATCH_WAIT) {
                Ok(changes) => {
                    after = changes.revision;
                    let changed = changes.changes.iter().any(|change| change.key == key);
                    let done = if changed { read(self) } else { Done::Nothing };
                    self.outbox.send(Message::Store(done));
                }
                Err(error) => {
                    self.outbox.send(Message::Store(failed(&error)));
                    std::thread::sleep(PAUSE);
                }
            }
        }
    }

    fn watch_list(&self) {
        let mut declared = Known::new();
        while !self.stop.load(Ordering::Acquire) {
            if self.watching.load(Ordering::Acquire) {
                let done = self.read_list(&mut declared);
                self.outbox.send(Message::Store(done));
            }
            std::thread::sleep(LIST_PERIOD);
        }
    }

    /// Reads the declarations and the list. Each counts without the other: an operator may declare an instance gone
    /// because the list does not work.
    fn read_list(&self, declared: &mut Known) -> Done {
        let key = self.keys.declarations(&self.me.domain);
        let read = declaration::read(&self.client, &key);
        let answered = read.is_ok();
        match read {
            Ok((_, read)) => {
                for gone in declared.take(read) {
                    let source = format!("{} ({})", gone.source, gone.reason);
                    event::emit(Event::DeclaredGone { what: gone.name, source });
                }
            }
            Err(error) => log::debug!("read of the declarations failed: {error}"),
        }
        let list = match self.client.instances() {
            Ok(list) => list,
            Err(error) if answered => {
                log::debug!("read of the platform's list failed: {error}");
                Vec::new()
            }
            Err(error) => return failed(&error),
        };
        let mut gone = named(&list, &self.me.domain, "gone");
        gone.extend(declared.names().cloned());
        Done::Instances { leaving: named(&list, &self.me.domain, "leaving"), gone }
    }
}

fn named(
    list: &[caraway_store::client::Instance],
    domain: &name::Domain,
    state: &str,
) -> Vec<String> {
    list.iter()
        .filter(|row| row.failure_domain == domain.as_str() && row.state == state)
        .map(|row| row.name.clone())
        .collect()
}

fn failed(error: &Error) -> Done {
    log::debug!("call to the platform failed: {error}");
    Done::Failed
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

/// Returns an identity that no other write has.
fn next_write_id(instance: &str, incarnation: u64) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!("{instance}-{incarnation}-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}
