//! Table tests of the lane's decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caraway_admission::controller::Completion;
use caraway_admission::controller::Options;
use caraway_admission::controller::Request;
use caraway_admission::controller::State;
use caraway_admission::sketch::Sketch;
use caraway_admission::table::Effect;
use caraway_admission::table::Entry;
use caraway_admission::table::Table;
use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

const NOW: Stamp = Stamp::from_millis(10_000);
const PATIENCE: Duration = Duration::from_secs(5);

fn ms(millis: u64) -> Stamp {
    NOW + Duration::from_millis(millis)
}

fn target(number: u32) -> name::Target {
    name::Target::new(&format!("regal-{number:02}"))
}

fn set_state(table: &mut Table, number: u32, state: State, now: Stamp) {
    table.set_target(&target(number), SocketAddr::from(([127, 0, 0, 1], 21001)), state, now);
}

/// Makes a table in which target n owns shard n.
fn table(pooled: bool, targets: u32, slots: u32, queue: usize) -> Table {
    let group = name::Group::new("regal/arbon/0");
    let warmup = Duration::from_secs(2);
    let mut table = Table::new(Options { group, pooled, slots, queue_per_target: queue, warmup });
    for number in 0..targets {
        set_state(&mut table, number, State::Live, NOW);
        table.allow_until(&target(number), ms(60_000), NOW);
        table.set_token(&target(number), Token::new(2, 0), NOW);
        table.assign(Shard(number), &target(number), Token::new(2, 1), NOW);
    }
    table
}

fn request(shard: u32, tenant: &str, urgency: Urgency) -> Request {
    Request {
        shard: Shard(shard),
        key: Arc::from(format!("shelf-{shard}")),
        tenant: name::Tenant::new(tenant),
        urgency,
        deadline: NOW + PATIENCE,
        avoid: None,
    }
}

fn normal(shard: u32) -> Request {
    request(shard, "centro", Urgency::Normal)
}

fn granted(entry: &Entry) -> (u64, name::Target) {
    match entry {
        Entry::Granted(grant) => (grant.ticket, grant.target.clone()),
        Entry::Queued(_) | Entry::Refused(_) => (0, name::Target::new("none")),
    }
}

fn grants(table: &mut Table) -> Vec<u64> {
    let effects = table.effects().into_iter();
    let ticket = |effect| match effect {
        Effect::Grant(grant) => Some(grant.ticket),
        Effect::Refuse(..) => None,
    };
    effects.filter_map(ticket).collect()
}

/// Guards against a queue that lets ordinary requests take the urgent share, or grows past its bound.
#[yare::parameterized(
    normal_leaves_an_eighth = { Urgency::Normal, 14 },
    bulk_leaves_an_eighth = { Urgency::Bulk, 14 },
    urgent_fills_it = { Urgency::Urgent, 16 },
)]
fn queue_holds(urgency: Urgency, expected: usize) {
    let mut table = table(false, 1, 1, 16);
    table.acquire(normal(0), NOW);
    let answers: Vec<Entry> =
        (0..20).map(|_| table.acquire(request(0, "centro", urgency), NOW)).collect();
    let queued = answers.iter().filter(|entry| matches!(entry, Entry::Queued(_))).count();
    assert_eq!(queued, expected);
    assert_eq!(answers.last(), Some(&Entry::Refused(Reason::Overloaded)));
}

/// Guards against a frost warning that is refused while downloads wait, and against displacing an
/// older or more important request.
#[test]
fn urgent_request_displaces_the_newest_bulk_one() {
    let mut table = table(false, 1, 1, 8);
    table.acquire(normal(0), NOW);
    table.acquire(request(0, "centro", Urgency::Bulk), NOW);
    let Entry::Queued(newest) = table.acquire(request(0, "centro", Urgency::Bulk), NOW) else {
        panic!("the queue has room")
    };
    for _ in 0..5 {
        table.acquire(normal(0), NOW);
    }
    table.acquire(request(0, "centro", Urgency::Urgent), NOW);
    assert_eq!(table.waiting(), 8);
    let entry = table.acquire(request(0, "centro", Urgency::Urgent), NOW);
    assert!(matches!(entry, Entry::Queued(_)));
    assert_eq!(table.effects(), [Effect::Refuse(newest, Reason::Overloaded)]);
    table.acquire(request(0, "centro", Urgency::Urgent), NOW);
    let last = table.acquire(request(0, "centro", Urgency::Urgent), NOW);
    assert_eq!(last, Entry::Refused(Reason::Overloaded));
}

/// Guards against a hot shard that fills the queue of its whole group.
#[test]
fn one_target_takes_at_most_half_of_the_queue() {
    let mut table = table(false, 2, 1, 8);
    table.acquire(normal(0), NOW);
    table.acquire(normal(1), NOW);
    for _ in 0..8 {
        assert!(matches!(table.acquire(normal(0), NOW), Entry::Queued(_)));
    }
    assert_eq!(table.acquire(normal(0), NOW), Entry::Refused(Reason::Overloaded));
    assert!(matches!(table.acquire(normal(1), NOW), Entry::Queued(_)));
}

/// Guards against a tenant that starves others, and against bulk requests before urgent ones.
#[test]
fn order_is_urgency_then_tenant_then_arrival() {
    let mut table = table(false, 1, 1, 32);
    let (mut running, _) = granted(&table.acquire(normal(0), NOW));
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
        let Entry::Queued(ticket) = table.acquire(request(0, &name[..1], urgency), NOW) else {
            panic!("{name} does not wait")
        };
        names.insert(ticket, name);
    }
    let mut order = Vec::new();
    for _ in 0..arrivals.len() {
        table.finish(running, Some(Completion::Failed), NOW);
        running = grants(&mut table)[0];
        order.push(names[&running]);
    }
    assert_eq!(order, ["urgent", "a1", "b1", "a2", "b2", "a3", "bulk"]);
}

/// Guards against a cold target that gets all its slots at once, or never.
#[yare::parameterized(
    start = { 0, 1 },
    before_second = { 666, 1 },
    second = { 667, 2 },
    third = { 1334, 3 },
    end = { 2000, 4 },
    long_after = { 9000, 4 },
)]
fn cold_target_ramps_up(at: u64, expected: usize) {
    let mut table = table(false, 1, 4, 16);
    set_state(&mut table, 0, State::Cold, NOW);
    set_state(&mut table, 0, State::Cold, ms(at));
    for _ in 0..6 {
        let request = Request { deadline: ms(60_000), ..normal(0) };
        table.acquire(request, ms(at));
    }
    assert_eq!(table.target_in_flight(&target(0)), expected);
}

/// Guards against a shedding target that keeps its load, and against a burst of refusals that cuts
/// its slots several times or for long.
#[yare::parameterized(
    at_once = { 0, 2 },
    before_a_step = { 249, 2 },
    one_step = { 250, 3 },
    all_steps = { 500, 4 },
)]
fn shed_halves_the_slots_for_a_while(after: u64, expected: u32) {
    let mut table = table(false, 1, 4, 16);
    let sent: Vec<u64> = (0..3).map(|_| granted(&table.acquire(normal(0), NOW)).0).collect();
    for ticket in sent {
        table.finish(ticket, Some(Completion::Shed), ms(1));
    }
    assert_eq!(table.rates(ms(1 + after)).targets[0].limit, expected);
}

/// Guards against a retry on the target that just failed, and against one that never runs because
/// only that target is left.
#[yare::parameterized(
    other_is_live = { State::Live, 1 },
    other_is_draining = { State::Draining, 0 },
    other_is_lost = { State::Lost, 0 },
)]
fn pooled_retry_avoids_a_target(other: State, expected: u32) {
    let mut table = table(true, 2, 2, 8);
    table.acquire(normal(0), NOW);
    table.acquire(normal(0), NOW);
    set_state(&mut table, 1, other, NOW);
    let retry = Request { avoid: Some(target(0)), ..normal(0) };
    assert_eq!(granted(&table.acquire(retry, NOW)).1, target(expected));
}

/// Guards against a request that waits although it cannot be served in time.
#[yare::parameterized(
    too_short = { 150, false },
    long_enough = { 250, true },
)]
fn hopeless_wait_is_refused_early(patience: u64, waits: bool) {
    let mut table = table(false, 1, 1, 16);
    let (first, _) = granted(&table.acquire(normal(0), NOW));
    table.finish(first, Some(Completion::Answered), ms(100));
    table.acquire(normal(0), ms(100));
    table.acquire(normal(0), ms(100));
    let hasty = Request { deadline: ms(100 + patience), ..normal(0) };
    let entry = table.acquire(hasty, ms(100));
    assert_eq!(matches!(entry, Entry::Queued(_)), waits);
    assert!(waits || entry == Entry::Refused(Reason::Overloaded));
}

/// Guards against a refusal that names the wrong cause.
#[yare::parameterized(
    busy = { |_: &mut Table| (), Reason::DeadlineBeforeDispatch },
    paused = { |table: &mut Table| table.pause(Shard(0), NOW), Reason::NoOwner },
    draining = { |table: &mut Table| set_state(table, 0, State::Draining, NOW), Reason::NoTarget },
    no_permission = { |table: &mut Table| table.allow_until(&target(0), NOW, NOW), Reason::NoTarget },
)]
fn expired_request_names_the_cause(change: fn(&mut Table), expected: Reason) {
    let mut table = table(false, 2, 1, 8);
    table.acquire(normal(0), NOW);
    let Entry::Queued(ticket) = table.acquire(normal(0), NOW) else { panic!("the slot is taken") };
    change(&mut table);
    assert_eq!(table.expire(ticket, NOW + PATIENCE), Some(expected));
    assert_eq!(table.expire(ticket, NOW + PATIENCE), None);
}

/// Guards against requests of one shard on two targets at once, and against a shard that waits for a
/// lost target.
#[yare::parameterized(
    old_is_live = { State::Live, false },
    old_is_draining = { State::Draining, false },
    old_is_lost = { State::Lost, true },
)]
fn new_owner_waits_for_permits_of_the_old_one(old: State, at_once: bool) {
    let mut table = table(false, 2, 4, 8);
    let (sent, _) = granted(&table.acquire(normal(0), NOW));
    set_state(&mut table, 0, old, NOW);
    table.assign(Shard(0), &target(1), Token::new(2, 2), NOW);
    let entry = table.acquire(normal(0), NOW);
    assert_eq!(matches!(entry, Entry::Granted(_)), at_once);
    table.finish(sent, Some(Completion::Failed), ms(5));
    assert_eq!(grants(&mut table).len(), usize::from(!at_once));
    assert_eq!((table.in_flight(Shard(0)), table.target_in_flight(&target(1))), (1, 1));
}

/// Guards against a split key that runs on its own target while a request of it still runs under its
/// shard, and against a split that holds back the rest of the shard.
#[test]
fn split_key_waits_for_its_own_permits_only() {
    let mut table = table(false, 2, 4, 8);
    let (sent, _) = granted(&table.acquire(normal(0), NOW));
    table.pause_key("shelf-0", NOW);
    assert_eq!((table.in_flight(Shard(0)), table.key_in_flight("shelf-0")), (0, 1));
    table.split("shelf-0", &target(1), Token::new(2, 2), NOW);
    assert!(matches!(table.acquire(normal(0), NOW), Entry::Queued(_)));
    let neighbor = Request { key: Arc::from("shelf-99"), ..normal(0) };
    assert_eq!(granted(&table.acquire(neighbor, NOW)).1, target(0));
    table.finish(sent, Some(Completion::Answered), ms(5));
    assert_eq!(grants(&mut table).len(), 1);
    assert_eq!(table.target_in_flight(&target(1)), 1);
}

/// Guards against a key that waits for a lost target after its split ended, and against one that runs
/// under its shard while its own target may still run it.
#[yare::parameterized(
    own_target_is_live = { State::Live, false },
    own_target_is_lost = { State::Lost, true },
)]
fn ended_split_waits_for_permits_of_its_target(own: State, at_once: bool) {
    let mut table = table(false, 2, 4, 8);
    table.split("shelf-0", &target(1), Token::new(2, 2), NOW);
    let (sent, _) = granted(&table.acquire(normal(0), NOW));
    table.unsplit("shelf-0", NOW);
    set_state(&mut table, 1, own, NOW);
    let entry = table.acquire(normal(0), NOW);
    assert_eq!(granted(&entry).1 == target(0), at_once);
    table.finish(sent, Some(Completion::Failed), ms(5));
    assert_eq!(grants(&mut table).len(), usize::from(!at_once));
}

/// Guards against a key that waits on after its split ended, although the last permit that kept its
/// shard from the same owner is back.
#[test]
fn ended_split_joins_its_shard_when_that_arrives() {
    let mut table = table(false, 2, 4, 8);
    table.split("shelf-0", &target(1), Token::new(2, 2), NOW);
    table.acquire(normal(0), NOW);
    let neighbor = Request { key: Arc::from("shelf-99"), ..normal(0) };
    let (sent, _) = granted(&table.acquire(neighbor, NOW));
    table.unsplit("shelf-0", NOW);
    table.assign(Shard(0), &target(1), Token::new(2, 3), NOW);
    assert!(matches!(table.acquire(normal(0), NOW), Entry::Queued(_)));
    table.finish(sent, Some(Completion::Answered), ms(5));
    assert_eq!(grants(&mut table).len(), 1);
}

/// Guards against counts that the placement policy would misread.
#[test]
fn rates_count_arrivals_since_the_last_call() {
    let mut table = table(false, 2, 4, 8);
    table.rates(NOW);
    let sent = granted(&table.acquire(normal(0), NOW)).0;
    for _ in 0..2 {
        table.acquire(Request { key: Arc::from("shelf-99"), ..normal(0) }, NOW);
    }
    table.finish(sent, Some(Completion::Answered), ms(5));
    table.split("shelf-5", &target(1), Token::new(2, 2), NOW);
    table.acquire(Request { key: Arc::from("shelf-5"), ..normal(0) }, NOW);
    let report = table.rates(ms(500));
    assert_eq!(report.elapsed, Duration::from_millis(500));
    assert_eq!(report.shards[0].requests, 3);
    assert_eq!(report.shards[0].owner, Some(target(0)));
    assert_eq!(&*report.shards[0].heavy[0].key, "shelf-99");
    assert_eq!(report.shards[0].heavy[0].requests, 2);
    assert_eq!((&*report.keys[0].key, report.keys[0].requests), ("shelf-5", 1));
    assert_eq!((report.targets[0].in_flight, report.targets[0].completed), (2, 1));
    assert_eq!(table.rates(ms(600)).shards[0].requests, 0);
}

/// Guards against a sketch that misses a dominating key or whose error bound is wrong.
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
