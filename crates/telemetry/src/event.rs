//! Catalog of log events.
//!
//! Numbers are grouped by hundreds: 1xx process, 2xx membership, 3xx ownership, 4xx calls, 5xx
//! configuration, 6xx store, 7xx load, 8xx operator. The number of a removed event is never reused.

use std::sync::Mutex;
use std::sync::PoisonError;

use log::Level;
use log::Record;

use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::field::Fields;
use crate::field::Value;
use crate::limit::Decision;
use crate::limit::Limiter;

/// Log target of all event records.
pub const TARGET: &str = "caraway";

/// Definition of an event in the catalog.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Definition {
    /// Number of the event.
    pub number: u16,
    /// Level of the event.
    pub level: Level,
    /// Name of the event.
    pub name: &'static str,
    /// Names of its fields, in the order in which they are logged.
    pub fields: &'static [&'static str],
}

macro_rules! events {
    ($($(#[$doc:meta])+ $number:literal $level:ident $variant:ident $name:literal
        { $($field:ident: $type:ty),* $(,)? } $message:literal)+) => {
        /// A log event.
        #[derive(Clone, Debug, Eq, PartialEq)]
        #[allow(missing_docs, reason = "the fields are described by the message and docs/events.md")]
        pub enum Event {
            $($(#[$doc])+ $variant { $($field: $type),* },)+
        }

        /// All event definitions, in ascending order of their numbers.
        pub const DEFINITIONS: &[Definition] = &[
            $(Definition {
                number: $number,
                level: Level::$level,
                name: $name,
                fields: &[$(stringify!($field)),*],
            },)+
        ];

        impl Event {
            /// Returns the number of the event.
            pub fn number(&self) -> u16 {
                match self { $(Self::$variant { .. } => $number,)+ }
            }

            /// Returns the level of the event.
            pub fn level(&self) -> Level {
                match self { $(Self::$variant { .. } => Level::$level,)+ }
            }

            /// Returns the name of the event.
            pub fn name(&self) -> &'static str {
                match self { $(Self::$variant { .. } => $name,)+ }
            }

            /// Returns the message of the event.
            #[allow(unused_variables, reason = "a message names only some of the fields")]
            pub fn message(&self) -> String {
                match self { $(Self::$variant { $($field),* } => format!($message),)+ }
            }

            /// Returns the number, the name and the fields of the event as key-value pairs.
            pub fn fields(&self) -> Fields {
                let mut fields = vec![
                    ("event", Value::from(self.number())),
                    ("name", Value::from(self.name().to_owned())),
                ];
                match self {
                    $(Self::$variant { $($field),* } => {
                        fields.extend([$((stringify!($field), Value::from($field.clone()))),*]);
                    })+
                }
                Fields(fields)
            }
        }
    };
}

events! {
    /// The process has read its settings and opened its listeners.
    101 Info ProcessStarted "process-started"
        { instance: name::Instance, domain: name::Domain, incarnation: u64, version: String }
        "instance {instance} of failure domain {domain} started, version {version}, incarnation {incarnation}"
    /// The instance has a configuration and accepts requests.
    102 Info ProcessReady "process-ready" { config_version: u64 }
        "ready with configuration version {config_version}"
    /// A planned stop was requested by a signal.
    103 Info StopRequested "stop-requested" { signal: String }
        "planned stop requested by {signal}"
    /// The process exits after a planned stop.
    104 Info ProcessStopped "process-stopped" { stop_ms: u64 }
        "planned stop finished after {stop_ms} ms"
    /// Events were suppressed by the rate limit.
    105 Warn EventsSuppressed "events-suppressed" { number: u16, count: u64 }
        "event {number} was suppressed {count} times by the rate limit"
    /// A second signal aborted a planned stop.
    106 Error StopForced "stop-forced" { signal: String }
        "second {signal}: exiting at once and aborting in-flight requests"
    /// The process was paused and did not run for a while.
    107 Warn ProcessPaused "process-paused" { pause_ms: u64 }
        "the process was paused for {pause_ms} ms"
    /// A listener could not be opened or stopped with an error.
    108 Error ListenerFailed "listener-failed" { address: String, error: String }
        "listener {address} failed: {error}"
    /// A thread or task terminated unexpectedly.
    109 Error TaskFailed "task-failed" { task: String, error: String }
        "{task} terminated unexpectedly: {error}"
    /// Log lines were dropped because the output was too slow.
    110 Warn LinesDropped "lines-dropped" { count: u64 }
        "{count} log lines were dropped since startup"
    /// An entry instance on the platform has read its settings and opened its listeners.
    111 Info EdgeStarted "edge-started" { instance: String, domain: String, version: String }
        "instance {instance} of failure domain {domain} started, version {version}"
    /// The settings file was reloaded.
    112 Info SettingsReloaded "settings-reloaded" { result: String }
        "settings reloaded: {result}"
    /// A further SIGTERM arrived during a planned stop.
    113 Warn StopRepeated "stop-repeated" { stop_ms: u64 }
        "SIGTERM again, {stop_ms} ms after the stop began: the planned stop continues"
    /// A planned stop entered its next stage.
    114 Info StopProgressed "stop-progressed" { stage: String, in_flight: u64, connections: u64, stop_ms: u64 }
        "planned stop {stage} after {stop_ms} ms with {in_flight} requests in flight on {connections} connections"

    /// The first heartbeat of an entry instance arrived.
    201 Info MemberJoined "member-joined" { instance: name::Instance, incarnation: u64 }
        "instance {instance} joined with incarnation {incarnation}"
    /// An entry instance sends no heartbeats; its groups may be taken over.
    202 Warn MemberSuspected "member-suspected" { instance: name::Instance, silent_ms: u64 }
        "no heartbeat from instance {instance} for {silent_ms} ms"
    /// An entry instance is known to have terminated.
    204 Warn MemberGone "member-gone" { instance: name::Instance, incarnation: u64, proof: String }
        "instance {instance} with incarnation {incarnation} is gone: {proof}"
    /// An entry instance announced a planned stop.
    205 Info MemberStopping "member-stopping" { instance: name::Instance }
        "instance {instance} is stopping"
    /// A target does not acknowledge grants.
    206 Warn TargetSilent "target-silent"
        { target: name::Target, group: name::Group, silent_ms: u64 }
        "target {target} of {group} has acknowledged no grant for {silent_ms} ms"
    /// A target is known to have terminated.
    207 Warn TargetGone "target-gone"
        { target: name::Target, group: name::Group, proof: String }
        "target {target} of {group} is gone: {proof}"
    /// A silent or gone target acknowledges grants again.
    208 Info TargetReturned "target-returned"
        { target: name::Target, group: name::Group, incarnation: u64 }
        "target {target} of {group} responds again with incarnation {incarnation}"
    /// The platform's registry lists a new target or a new incarnation of a target.
    214 Info TargetListed "target-listed"
        { target: String, service: String, address: String, born: u64, revision: u64 }
        "target {target} of {service} is listed at {address}"
    /// The platform's registry marks a target as draining.
    215 Info TargetDraining "target-draining" { target: String, service: String, revision: u64 }
        "target {target} of {service} is draining and gets no new requests"
    /// The platform's registry no longer lists a target.
    216 Info TargetUnlisted "target-unlisted" { target: String, service: String, revision: u64 }
        "target {target} of {service} is no longer listed and gets no new requests"
    /// A target refused or dropped connections and is ejected temporarily.
    217 Warn TargetUnreached "target-unreached" { target: String, service: String, error: String }
        "target {target} of {service} could not be reached: {error}"
    /// A newer target list or configuration was adopted from a peer.
    218 Info PeerFollowed "peer-followed" { peer: String, what: String, revision: u64 }
        "adopted {what} of revision {revision} from instance {peer}"
    /// An instance did not answer a report; another instance or the store is tried next.
    219 Warn PeerUnreached "peer-unreached" { peer: String, error: String }
        "instance {peer} did not answer a report: {error}"
    /// An instance was removed because it had sent no report for a minute.
    220 Info InstanceForgotten "instance-forgotten" { instance: String }
        "instance {instance} was removed: no report for a minute"
    /// A target said in a response that it is leaving; `source` is this instance or the one that passed it on.
    221 Info TargetLeaving "target-leaving" { target: String, service: String, source: String, age_ms: u64 }
        "target {target} of {service} has announced that it is leaving, according to {source}"
    /// A target refused a request and asked for a pause.
    222 Info TargetPaused "target-paused" { target: String, service: String, asked_ms: u64, pause_ms: u64 }
        "target {target} of {service} gets no requests of this instance for {pause_ms} ms"
    /// A target asked for a pause with a value that is not a number of seconds.
    223 Warn PauseInvalid "pause-invalid" { target: String, service: String, value: String }
        "target {target} of {service} asked for a pause of {value:?}, which is ignored"
    /// A target that was taken to be warm stated in a response that it is cold.
    240 Info TargetCold "target-cold" { target: String, service: String, left_ms: u64 }
        "target {target} of {service} is cold for {left_ms} ms more and gets few requests"
    /// A target stated its remaining warm-up time with a value that is not a number of milliseconds.
    241 Warn WarmupInvalid "warmup-invalid" { target: String, service: String, value: String }
        "target {target} of {service} stated a warm-up time of {value:?}, which is ignored"
    /// The operator evacuated a failure domain.
    242 Warn EvacuationBegan "evacuation-began" { domain: String, source: String }
        "failure domain {domain} is evacuated, according to {source}; its targets get no more requests"
    /// The operator ended the evacuation of a failure domain.
    243 Info EvacuationEnded "evacuation-ended" { domain: String, source: String }
        "failure domain {domain} is no longer evacuated, according to {source}"

    /// The instance acquired a group.
    301 Info GroupAcquired "group-acquired"
        { group: name::Group, term: u64, reason: String }
        "acquired {group} with term {term}: {reason}"
    /// The instance stopped coordinating a group because a higher term exists.
    303 Warn GroupLost "group-lost"
        { group: name::Group, term: u64, higher_term: u64 }
        "lost {group}, held with term {term}: term {higher_term} exists"
    /// The instance handed over a group during a planned stop.
    304 Info GroupHandedOver "group-handed-over"
        { group: name::Group, term: u64, to: name::Instance }
        "handed over {group} to {to} under term {term}"
    /// A group was acquired with the reserved term, without a call to the store.
    308 Info ReservedTermUsed "reserved-term-used" { group: name::Group, term: u64 }
        "acquired {group} with the reserved term {term} without the store"
    /// Shards were assigned to a target.
    309 Info ShardsReassigned "shards-reassigned"
        { group: name::Group, to: name::Target, count: u32, token: Token, reason: String }
        "{count} shards of {group} were assigned to {to} with token {token}: {reason}"
    /// The instance was elected coordinator of all keyed services.
    315 Info CoordinatorElected "coordinator-elected" { term: u64, holdings: u64 }
        "this instance coordinates {holdings} holdings under term {term}"
    /// The instance is no longer the coordinator.
    316 Warn CoordinatorEnded "coordinator-ended" { term: u64, reason: String }
        "coordinator term {term} of this instance ended: {reason}"
    /// A change of the owner of a key range was committed to the store.
    317 Info KeysMoved "keys-moved"
        { service: String, first: u64, last: u64, to: String, reason: String, revision: u64 }
        "keys {first} to {last} of {service} are reassigned to {to}: {reason}"
    /// A target confirmed a grant of a key range.
    318 Info KeysGranted "keys-granted"
        { service: String, first: u64, last: u64, target: String, fence: u64, handover: String }
        "target {target} of {service} owns keys {first} to {last} with token {fence}"
    /// A target did not confirm the grant or the release of a key range.
    319 Warn GrantUnanswered "grant-unanswered"
        { service: String, first: u64, last: u64, target: String, fence: u64, result: String }
        "target {target} of {service} did not confirm keys {first} to {last}: {result}"
    /// A newer owner table was applied.
    320 Info OwnersApplied "owners-applied" { term: u64, change: u64 }
        "owners of term {term}, change {change}, are in use"
    /// Unresponsive targets keep their keys until the grants of earlier coordinators expire.
    321 Info GrantsInherited "grants-inherited" { term: u64, targets: u64, longest_ms: u64, source: String }
        "{targets} targets may hold keys under grants older than term {term} for up to {longest_ms} ms, according to {source}"
    /// The last coordinator of an era has announced its tables and the ends of its grants.
    324 Info TablesAnnounced "tables-announced" { era: u64, longest_ms: u64 }
        "the last coordinator before era {era} announced its tables; its grants end within {longest_ms} ms"
    /// Nobody has announced the owners of keys at the end of the era before.
    325 Warn OwnersUnknown "owners-unknown" { era: u64, longest_ms: u64 }
        "the owners at the beginning of era {era} are unknown; keys are granted once all targets have released them, or in {longest_ms} ms"
    /// An earlier owner no longer holds keys, so that they can be granted to the next one.
    326 Info OwnerCleared "owner-cleared" { service: String, target: String, born: u64, proof: String }
        "target {target} of {service} no longer holds keys that it owned: {proof}"

    /// A request crashed too many targets and is quarantined for a while.
    401 Error RequestQuarantined "request-quarantined" { request_id: String, route: String }
        "request {request_id} of {route} crashed several targets and is quarantined"
    /// A target crashed while or right after it ran a request.
    402 Warn TargetCrashed "target-crashed"
        { target: String, service: String, request: String, phase: String }
        "target {target} of {service} crashed {phase} a request like {request}"
    /// Retries are refused because the retry budget is exhausted.
    403 Warn RetryBudgetExhausted "retry-budget-exhausted" { service: name::Service }
        "the retry budget of {service} is exhausted"
    /// A caller sent an invalid request.
    409 Warn CallerInvalid "caller-invalid" { address: String, problem: String }
        "caller {address} sent an invalid request: {problem}"
    /// A request was refused before execution.
    410 Warn RequestRefused "request-refused"
        { request_id: String, route: String, service: String, key: String, reason: String, attempts: u64, held_ms: u64, left_ms: u64, retry_ms: u64, config_version: u64, owners: String }
        "request {request_id} was refused and has not run: {reason}"
    /// A request failed and may have been executed.
    411 Warn RequestFailed "request-failed"
        { request_id: String, route: String, service: String, key: String, reason: String, target: String, status: u64, attempts: u64, held_ms: u64, config_version: u64, owners: String }
        "request {request_id} was answered with {status}: {reason}"
    /// A request is retried.
    412 Info RequestRepeated "request-repeated"
        { request_id: String, service: String, target: String, reason: String, left_ms: u64 }
        "request {request_id} is sent once more after {target}: {reason}"
    /// A sample of the answered requests.
    413 Info RequestAnswered "request-answered"
        { request_id: String, route: String, target: String, status: u64, attempts: u64, held_ms: u64, sampled: u64 }
        "request {request_id} was answered by {target} with {status}"
    /// A response ended before it was complete.
    414 Warn AnswerBroken "answer-broken" { request_id: String, target: String, error: String }
        "the response of {target} to request {request_id} was truncated: {error}"
    /// A request body was not received.
    415 Warn BodyRefused "body-refused" { request_id: String, address: String, reason: String, held_ms: u64, memory_used: u64 }
        "the body of request {request_id} from {address} was not received: {reason}"
    /// A connection was closed because of a limit.
    416 Warn ConnectionClosed "connection-closed" { listener: String, address: String, reason: String, open: u64 }
        "a connection of {address} to the listener for {listener} was closed: {reason}"

    /// A configuration version is in force.
    501 Info ConfigurationApplied "configuration-applied" { version: u64, source: String }
        "configuration version {version} from {source} is in force"
    /// A configuration version is invalid and is not applied.
    502 Error ConfigurationInvalid "configuration-invalid" { version: u64, findings: String }
        "configuration version {version} is not applied: {findings}"
    /// A configuration version is older than the one in force.
    503 Warn ConfigurationOld "configuration-old" { version: u64, in_force: u64 }
        "configuration version {version} is ignored: version {in_force} is in force"
    /// A stored configuration was rejected.
    506 Error ConfigurationRefused "configuration-refused" { revision: u64, error: String }
        "the configuration at revision {revision} was rejected: {error}"

    /// The store does not respond.
    601 Error StoreUnreachable "store-unreachable" { error: String }
        "the store does not respond: {error}"
    /// The store responds again.
    602 Info StoreReachable "store-reachable" { outage_ms: u64 }
        "the store responds again after {outage_ms} ms"
    /// A store write got no response and may have taken effect.
    604 Warn WriteAmbiguous "write-ambiguous" { key: String, write_id: String }
        "write {write_id} to {key} got no response; reading it back"
    /// A record in the store cannot be parsed.
    607 Error RecordInvalid "record-invalid" { key: String, error: String }
        "record {key} in the store is invalid: {error}"
    /// The store watch lags behind other instances and is restarted.
    608 Warn WatchBehind "watch-behind" { revision: u64, peer_revision: u64 }
        "the store watch is at revision {revision} while a peer is at {peer_revision}; restarting it"
    /// An entry in the store cannot be parsed and is ignored.
    609 Warn EntryIgnored "entry-ignored" { key: String, error: String }
        "entry {key} is ignored: {error}"
    /// The instance follows the store, or another instance, from now on.
    610 Info FollowingChanged "following-changed" { mode: String, age_ms: u64 }
        "changes are learned from {mode}; the view is {age_ms} ms old"
    /// The store was restored from a copy.
    613 Warn EraRisen "era-risen" { era: u64, previous: u64, source: String }
        "the store continues under era {era} after era {previous}, according to {source}; everything is read again"
    /// An entry of a target is readable, but lists no target.
    614 Warn EntryUnused "entry-unused" { target: String, reason: String }
        "the entry of target {target} is not used: {reason}"

    /// The share of this instance in the targets of a service changed.
    730 Info ShareChanged "share-changed" { service: String, targets: u64, places: u64, instances: u64 }
        "this instance uses {targets} targets of {service} with {places} places, one of {instances} instances"
    /// Requests were refused for lack of room.
    731 Warn RoomShort "room-short" { service: String, refused: u64, in_flight: u64 }
        "{refused} requests for {service} were refused for lack of room in the last second, {in_flight} are in flight"
    /// A target does not answer.
    732 Warn TargetUnanswering "target-unanswering" { target: String, service: String }
        "target {target} of {service} does not answer and gets single requests only"
    /// A target answers again.
    733 Info TargetAnswering "target-answering" { target: String, service: String }
        "target {target} of {service} answers again, or was given up as silent"

    /// An operator declared that an instance or a target is gone.
    802 Warn DeclaredGone "declared-gone" { what: String, source: String }
        "{what} is declared gone by {source}"
    /// A request to the admin interface was refused.
    803 Warn AdminRefused "admin-refused" { path: String, problem: String }
        "admin request {path} refused: {problem}"
}

impl From<Reason> for Value {
    fn from(reason: Reason) -> Self {
        Self::Text(reason.as_str().to_owned())
    }
}

static LIMITER: Mutex<Limiter> = Mutex::new(Limiter::new());

/// Logs an event, unless more than [`crate::limit::EVENTS_PER_WINDOW`] events of its number
/// occurred in the current second.
pub fn emit(event: Event) {
    if !log::log_enabled!(target: TARGET, event.level()) {
        return;
    }
    match with_limiter(|limiter, now| limiter.decide(event.number(), now)) {
        Decision::Suppress => {}
        Decision::Emit { suppressed: 0 } => log_event(&event),
        Decision::Emit { suppressed } => {
            log_event(&Event::EventsSuppressed { number: event.number(), count: suppressed });
            log_event(&event);
        }
    }
}

/// Logs how many events were suppressed in windows that have ended. Must be called about once a
/// second and before the process exits; otherwise the count of a burst is reported only with the
/// next burst.
pub fn flush() {
    for (number, count) in with_limiter(Limiter::drain_ended) {
        log_event(&Event::EventsSuppressed { number, count });
    }
}

fn with_limiter<T>(f: impl FnOnce(&mut Limiter, Stamp) -> T) -> T {
    let now = Clock.now();
    // The counts stay consistent if another thread panics, so logging continues with a poisoned
    // lock.
    let mut limiter = LIMITER.lock().unwrap_or_else(PoisonError::into_inner);
    f(&mut limiter, now)
}

fn log_event(event: &Event) {
    let fields = event.fields();
    log::logger().log(
        &Record::builder()
            .level(event.level())
            .target(TARGET)
            .module_path_static(Some("caraway"))
            .key_values(&fields)
            .args(format_args!("{}", event.message()))
            .build(),
    );
}
