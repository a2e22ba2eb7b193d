//! Table-driven tests of admission decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caraway_admission::controller::Completion;
use caraway_admission::controller::Options;
use caraway_admission::controller::Request;
use caraway_admission::controller::State;
use caraway_admission::scheduler::Admission;
use caraway_admission::scheduler::Effect;
use caraway_admission::scheduler::Scheduler;
use caraway_admission::sketch::Sketch;
use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

const NOW: Stamp = Stamp::from_millis(10_000);
const TIMEOUT: Duration = Duration::from_secs(5);

fn ms(millis: u64) -> Stamp {
    NOW + Duration::from_millis(millis)
}

fn target(number: u32) -> name::Target {
    name::Target::new(&format!("regal-{number:02}"))
}

fn set_state(scheduler: &mut Scheduler, number: u32, state: State, now: Stamp) {
    scheduler.set_target(&target(number), SocketAddr::from(([127, 0, 0, 1], 21001)), state, now);
}

/// Creates a scheduler in which target n owns shard n.
fn scheduler(pooled: bool, targets: u32, slots: u32, queue: usize) -> Scheduler {
    let group = name::Group::new("regal/arbon/0");
    let warmup = Duration::from_secs(2);
    let mut scheduler =
        Scheduler::new(Options { group, pooled, slots, queue_per_target: queue, warmup });
    for number in 0..targets {
        set_state(&mut scheduler, number, State::Live, NOW);
        scheduler.allow_until(&target(number), ms(60_000), NOW);
        scheduler.set_token(&target(number), Token::new(2, 0), NOW);
        scheduler.assign(Shard(number), &target(number), Token::new(2, 1), NOW);
    }
    scheduler
}

fn request(shard: u32, tenant: &str, urgency: Urgency) -> Request {
    Request {
        shard: Shard(shard),
        key: Arc::from(format!("shelf-{shard}")),
        tenant: name::Tenant::new(tenant),
        urgency,
        deadline: NOW + TIMEOUT,
        avoid: None,
    }
}

fn normal(shard: u32) -> Request {
    request(shard, "centro", Urgency::Normal)
}

fn granted(admission: &Admission) -> (u64, name::Target) {
    match admission {
        Admission::Granted(grant) => (grant.sequence, grant.target.clone()),
        Admission::Queued(_) | Admission::Refused(_) => (0, name::Target::new("none")),
    }
}

fn grants(scheduler: &mut Scheduler) -> Vec<u64> {
    let effects = scheduler.take_effects().into_iter();
    let sequence = |effect| match effect {
        Effect::Grant(grant) => Some(grant.sequence),
        Effect::Refuse(..) => None,
    };
    effects.filter_map(sequence).collect()
}

/// Guards against a queue whose urgent reserve is taken by other requests, or that exceeds its bound.
#[yare::parameterized(
    normal_leaves_an_eighth = { Urgency::Normal, 14 },
    bulk_leaves_an_eighth = { Urgency::Bulk, 14 },
    urgent_fills_it = { Urgency::Urgent, 16 },
)]
fn queue_reserves_an_eighth_for_urgent_requests(urgency: Urgency, expected: usize) {
    let mut scheduler = scheduler(false, 1, 1, 16);
    scheduler.acquire(normal(0), NOW);
    let admissions: Vec<Admission> =
        (0..20).map(|_| scheduler.acquire(request(0, "centro", urgency), NOW)).collect();
    let queued =
        admissions.iter().filter(|admission| matches!(admission, Admission::Queued(_))).count();
    assert_eq!(queued, expected);
    assert_eq!(admissions.last(), Some(&Admission::Refused(Reason::Overloaded)));
}

/// Guards against an urgent request that is refused while bulk requests wait, and against the
/// eviction of an older or more urgent request.
#[test]
fn urgent_request_evicts_the_newest_bulk_one() {
    let mut scheduler = scheduler(false, 1, 1, 8);
    scheduler.acquire(normal(0), NOW);
    scheduler.acquire(request(0, "centro", Urgency::Bulk), NOW);
    let Admission::Queued(newest) = scheduler.acquire(request(0, "centro", Urgency::Bulk), NOW)
    else {
        panic!("the queue has room")
    };
    for _ in 0..5 {
        scheduler.acquire(normal(0), NOW);
    }
    scheduler.acquire(request(0, "centro", Urgency::Urgent), NOW);
    assert_eq!(scheduler.waiting(), 8);
    let admission = scheduler.acquire(request(0, "centro", Urgency::Urgent), NOW);
    assert!(matches!(admission, Admission::Queued(_)));
    assert_eq!(scheduler.take_effects(), [Effect::Refuse(newest, Reason::Overloaded)]);
    scheduler.acquire(request(0, "centro", Urgency::Urgent), NOW);
    let last = scheduler.acquire(request(0, "centro", Urgency::Urgent), NOW);
    assert_eq!(last, Admission::Refused(Reason::Overloaded));
}

/// Guards against a hot shard that fills the queue of the whole group.
#[test]
fn one_target_takes_at_most_half_of_the_queue() {
    let mut scheduler = scheduler(false, 2, 1, 8);
    scheduler.acquire(normal(0), NOW);
    scheduler.acquire(normal(1), NOW);
    for _ in 0..8 {
        assert!(matches!(scheduler.acquire(normal(0), NOW), Admission::Queued(_)));
    }
    assert_eq!(scheduler.acquire(normal(0), NOW), Admission::Refused(Reason::Overloaded));
    assert!(matches!(scheduler.acquire(normal(1), NOW), Admission::Queued(_)));
}

/// Guards against a tenant that starves others, and against bulk requests served before urgent ones.
#[test]
fn order_is_urgency_then_tenant_then_arrival() {
    let mut scheduler = scheduler(false, 1, 1, 32);
    let (mut running, _) = granted(&scheduler.acquire(normal(0), NOW));
    let arrivals = [
        ("bulk", Urgency::Bulk),
        ("a1", Urgency::Normal),
        ("a2", Urgency::Normal),
        ("a3", Urgency::Normal),
        ("b1", Urgency::Normal),
        ("b2", Urgency::Normal),
        ("urgent", Urgency::Urgent),
    ];
    let mut names = std::collections::HashMap::new();
    for (name, urgency) in arrivals {
        let Admission::Queued(sequence) = scheduler.acquire(request(0, &name[..1], urgency), NOW)
        else {
            panic!("{name} was not queued")
        };
        names.insert(sequence, name);
    }
    let mut order = Vec::new();
    for _ in 0..arrivals.len() {
        scheduler.finish(running, Some(Completion::Failed), NOW);
        running = grants(&mut scheduler)[0];
        order.push(names[&running]);
    }
    assert_eq!(order, ["urgent", "a1", "b1", "a2", "b2", "a3", "bulk"]);
}

/// Guards against a cold target that receives all its slots at once, or never.
#[yare::parameterized(
    start = { 0, 1 },
    before_second = { 666, 1 },
    second = { 667, 2 },
    third = { 1334, 3 },
    end = { 2000, 4 },
    long_after = { 9000, 4 },
)]
fn cold_target_ramps_up(at: u64, expected: usize) {
    let mut scheduler = scheduler(false, 1, 4, 16);
    set_state(&mut scheduler, 0, State::Cold, NOW);
    set_state(&mut scheduler, 0, State::Cold, ms(at));
    for _ in 0..6 {
        let request = Request { deadline: ms(60_000), ..normal(0) };
        scheduler.acquire(request, ms(at));
    }
    assert_eq!(scheduler.target_in_flight(&target(0)), expected);
}

/// Guards against a target that sheds requests and keeps its limit, and against a burst of refusals
/// that reduces the limit several times or for too long.
#[yare::parameterized(
    at_once = { 0, 2 },
    before_a_step = { 249, 2 },
    one_step = { 250, 3 },
    all_steps = { 500, 4 },
)]
fn shed_halves_the_limit_temporarily(after: u64, expected: u32) {
    let mut scheduler = scheduler(false, 1, 4, 16);
    let sent: Vec<u64> = (0..3).map(|_| granted(&scheduler.acquire(normal(0), NOW)).0).collect();
    for sequence in sent {
        scheduler.finish(sequence, Some(Completion::Shed), ms(1));
    }
    assert_eq!(scheduler.take_counts(ms(1 + after)).targets[0].limit, expected);
}

/// Guards against a retry on the target that just failed, and against a retry that never runs
/// because only that target is left.
#[yare::parameterized(
    other_is_live = { State::Live, 1 },
    other_is_draining = { State::Draining, 0 },
    other_is_lost = { State::Lost, 0 },
)]
fn pooled_retry_avoids_a_target(other: State, expected: u32) {
    let mut scheduler = scheduler(true, 2, 2, 8);
    scheduler.acquire(normal(0), NOW);
    scheduler.acquire(normal(0), NOW);
    set_state(&mut scheduler, 1, other, NOW);
    let retry = Request { avoid: Some(target(0)), ..normal(0) };
    assert_eq!(granted(&scheduler.acquire(retry, NOW)).1, target(expected));
}

/// Guards against queueing a request that cannot be served before its deadline.
#[yare::parameterized(
    too_short = { 150, false },
    long_enough = { 250, true },
)]
fn wait_past_the_deadline_is_refused_early(timeout_ms: u64, waits: bool) {
    let mut scheduler = scheduler(false, 1, 1, 16);
    let (first, _) = granted(&scheduler.acquire(normal(0), NOW));
    scheduler.finish(first, Some(Completion::Answered), ms(100));
    scheduler.acquire(normal(0), ms(100));
    scheduler.acquire(normal(0), ms(100));
    let short = Request { deadline: ms(100 + timeout_ms), ..normal(0) };
    let admission = scheduler.acquire(short, ms(100));
    assert_eq!(matches!(admission, Admission::Queued(_)), waits);
    assert!(waits || admission == Admission::Refused(Reason::Overloaded));
}

/// Guards against a refusal with the wrong reason.
#[yare::parameterized(
    busy = { |_: &mut Scheduler| (), Reason::DeadlineBeforeDispatch },
    paused = { |scheduler: &mut Scheduler| scheduler.pause(Shard(0), NOW), Reason::NoOwner },
    draining = { |scheduler: &mut Scheduler| set_state(scheduler, 0, State::Draining, NOW), Reason::NoTarget },
    no_permission = { |scheduler: &mut Scheduler| scheduler.allow_until(&target(0), NOW, NOW), Reason::NoTarget },
)]
fn expired_request_names_the_cause(change: fn(&mut Scheduler), expected: Reason) {
    let mut scheduler = scheduler(false, 2, 1, 8);
    scheduler.acquire(normal(0), NOW);
    let Admission::Queued(sequence) = scheduler.acquire(normal(0), NOW) else {
        panic!("the slot is taken")
    };
    change(&mut scheduler);
    assert_eq!(scheduler.expire(sequence, NOW + TIMEOUT), Some(expected));
    assert_eq!(scheduler.expire(sequence, NOW + TIMEOUT), None);
}

/// Guards against requests of one shard on two targets at the same time, and against a shard that
/// waits for a lost target.
#[yare::parameterized(
    old_is_live = { State::Live, false },
    old_is_draining = { State::Draining, false },
    old_is_lost = { State::Lost, true },
)]
fn new_owner_waits_for_permits_of_the_old_one(old: State, at_once: bool) {
    let mut scheduler = scheduler(false, 2, 4, 8);
    let (sent, _) = granted(&scheduler.acquire(normal(0), NOW));
    set_state(&mut scheduler, 0, old, NOW);
    scheduler.assign(Shard(0), &target(1), Token::new(2, 2), NOW);
    let admission = scheduler.acquire(normal(0), NOW);
    assert_eq!(matches!(admission, Admission::Granted(_)), at_once);
    scheduler.finish(sent, Some(Completion::Failed), ms(5));
    assert_eq!(grants(&mut scheduler).len(), usize::from(!at_once));
    assert_eq!((scheduler.in_flight(Shard(0)), scheduler.target_in_flight(&target(1))), (1, 1));
}

/// Guards against a split key that runs on its new owner while one of its requests still runs under
/// its shard, and against a split that delays the rest of the shard.
#[test]
fn split_key_waits_for_its_own_permits_only() {
    let mut scheduler = scheduler(false, 2, 4, 8);
    let (sent, _) = granted(&scheduler.acquire(normal(0), NOW));
    scheduler.pause_key("shelf-0", NOW);
    assert_eq!((scheduler.in_flight(Shard(0)), scheduler.key_in_flight("shelf-0")), (0, 1));
    scheduler.split("shelf-0", &target(1), Token::new(2, 2), NOW);
    assert!(matches!(scheduler.acquire(normal(0), NOW), Admission::Queued(_)));
    let neighbor = Request { key: Arc::from("shelf-99"), ..normal(0) };
    assert_eq!(granted(&scheduler.acquire(neighbor, NOW)).1, target(0));
    scheduler.finish(sent, Some(Completion::Answered), ms(5));
    assert_eq!(grants(&mut scheduler).len(), 1);
    assert_eq!(scheduler.target_in_flight(&target(1)), 1);
}

/// Guards against a key that waits for a lost target after its split ended, and against one that runs
/// under its shard while its previous owner may still run it.
#[yare::parameterized(
    own_target_is_live = { State::Live, false },
    own_target_is_lost = { State::Lost, true },
)]
fn ended_split_waits_for_permits_of_its_target(own: State, at_once: bool) {
    let mut scheduler = scheduler(false, 2, 4, 8);
    scheduler.split("shelf-0", &target(1), Token::new(2, 2), NOW);
    let (sent, _) = granted(&scheduler.acquire(normal(0), NOW));
    scheduler.unsplit("shelf-0", NOW);
    set_state(&mut scheduler, 1, own, NOW);
    let admission = scheduler.acquire(normal(0), NOW);
    assert_eq!(granted(&admission).1 == target(0), at_once);
    scheduler.finish(sent, Some(Completion::Failed), ms(5));
    assert_eq!(grants(&mut scheduler).len(), usize::from(!at_once));
}

/// Guards against a key that keeps waiting after its split ended, although the last permit that kept
/// its shard from the same owner was returned.
#[test]
fn ended_split_rejoins_its_shard_after_the_last_permit() {
    let mut scheduler = scheduler(false, 2, 4, 8);
    scheduler.split("shelf-0", &target(1), Token::new(2, 2), NOW);
    scheduler.acquire(normal(0), NOW);
    let neighbor = Request { key: Arc::from("shelf-99"), ..normal(0) };
    let (sent, _) = granted(&scheduler.acquire(neighbor, NOW));
    scheduler.unsplit("shelf-0", NOW);
    scheduler.assign(Shard(0), &target(1), Token::new(2, 3), NOW);
    assert!(matches!(scheduler.acquire(normal(0), NOW), Admission::Queued(_)));
    scheduler.finish(sent, Some(Completion::Answered), ms(5));
    assert_eq!(grants(&mut scheduler).len(), 1);
}

/// Guards against wrong counts in the input of the placement policy.
#[test]
fn counts_cover_arrivals_since_the_last_call() {
    let mut scheduler = scheduler(false, 2, 4, 8);
    scheduler.take_counts(NOW);
    let sent = granted(&scheduler.acquire(normal(0), NOW)).0;
    for _ in 0..2 {
        scheduler.acquire(Request { key: Arc::from("shelf-99"), ..normal(0) }, NOW);
    }
    scheduler.finish(sent, Some(Completion::Answered), ms(5));
    scheduler.split("shelf-5", &target(1), Token::new(2, 2), NOW);
    scheduler.acquire(Request { key: Arc::from("shelf-5"), ..normal(0) }, NOW);
    let report = scheduler.take_counts(ms(500));
    assert_eq!(report.elapsed, Duration::from_millis(500));
    assert_eq!(report.shards[0].requests, 3);
    assert_eq!(report.shards[0].owner, Some(target(0)));
    assert_eq!(&*report.shards[0].heavy[0].key, "shelf-99");
    assert_eq!(report.shards[0].heavy[0].requests, 2);
    assert_eq!((&*report.keys[0].key, report.keys[0].requests), ("shelf-5", 1));
    assert_eq!((report.targets[0].in_flight, report.targets[0].completed), (2, 1));
    assert_eq!(scheduler.take_counts(ms(600)).shards[0].requests, 0);
}

/// Guards against a sketch that misses a dominating key or reports a wrong error bound.
#[test]
fn sketch_bounds_the_count_of_a_heavy_key() {
    let mut sketch = Sketch::default();
    let hot: Arc<str> = Arc::from("hot");
    for number in 0..1000 {
        sketch.count(&Arc::from(format!("rare-{number}")));
        if number % 5 == 0 {
            sketch.count(&hot);
        }
    }
    let entries = sketch.take();
    assert_eq!(entries.iter().map(|entry| entry.requests).sum::<u64>(), 1200);
    let first = &entries[0];
    assert_eq!(first.key, hot);
    assert!(first.requests - first.error <= 200 && 200 <= first.requests);
}
