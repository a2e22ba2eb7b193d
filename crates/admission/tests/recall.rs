//! Tests of recalled permits and of requests for a silent target.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use caraway_admission::controller::Completion;
use caraway_admission::controller::Controller;
use caraway_admission::controller::Options;
use caraway_admission::controller::Request;
use caraway_admission::controller::State;
use caraway_admission::table::Entry;
use caraway_admission::table::Table;
use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

const LONG: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(30);

fn options(slots: u32) -> Options {
    Options {
        group: name::Group::new("lectura/med/0"),
        pooled: false,
        slots,
        queue_per_target: 64,
        warmup: Duration::ZERO,
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 21000))
}

fn target(number: u32) -> name::Target {
    name::Target::new(&format!("lectura-{number}"))
}

fn request(shard: u32, deadline: Stamp) -> Request {
    Request {
        shard: Shard(shard),
        key: Arc::from("k"),
        tenant: name::Tenant::new("centro"),
        urgency: Urgency::Normal,
        deadline,
        avoid: None,
    }
}

fn lane() -> Arc<Controller> {
    let lane = Controller::new(options(4));
    for number in 0..2 {
        lane.set_target(&target(number), address(), State::Live);
        lane.allow_until(&target(number), Clock.now() + LONG);
        lane.assign(Shard(number), &target(number), Token::new(2, 1));
    }
    lane
}

/// Guards against an attempt that waits for a lost target, and against one that is given up because
/// another target was lost.
#[tokio::test]
async fn loss_recalls_the_permits_of_the_target() {
    let lane = lane();
    let lost = lane.acquire(request(0, Clock.now() + LONG)).await.unwrap();
    let kept = lane.acquire(request(1, Clock.now() + LONG)).await.unwrap();
    assert!(timeout(SHORT, lost.revoked()).await.is_err());
    let wait = lost.revoked();
    tokio::pin!(wait);
    assert!(timeout(SHORT, wait.as_mut()).await.is_err());
    lane.set_target(&target(0), address(), State::Lost);
    assert!(timeout(LONG, wait).await.is_ok());
    assert!(timeout(SHORT, kept.revoked()).await.is_err());
    // The target is back, but the grant under which the permit was handed out has ended.
    lane.set_target(&target(0), address(), State::Live);
    assert!(timeout(LONG, lost.revoked()).await.is_ok());
    let again = lane.acquire(request(0, Clock.now() + LONG)).await.unwrap();
    assert!(timeout(SHORT, again.revoked()).await.is_err());
}

/// Guards against an attempt that outlives the coordination of its group unnoticed.
#[tokio::test]
async fn close_recalls_all_permits() {
    let lane = lane();
    let permit = lane.acquire(request(0, Clock.now() + LONG)).await.unwrap();
    lane.close(Reason::Misdirected);
    assert!(timeout(LONG, permit.revoked()).await.is_ok());
}

/// Guards against a refusal of requests whose shard is about to move: the queue of a target that does
/// not acknowledge renewals is not served by that target.
#[test]
fn request_for_a_silent_target_waits() {
    let ms = Stamp::from_millis;
    let mut table = Table::new(options(1));
    table.set_target(&target(0), address(), State::Live, ms(0));
    table.allow_until(&target(0), ms(1000), ms(0));
    table.assign(Shard(0), &target(0), Token::new(2, 1), ms(0));
    let Entry::Granted(grant) = table.acquire(request(0, ms(5000)), ms(0)) else {
        panic!("a slot is free")
    };
    table.finish(grant.ticket, Some(Completion::Answered), ms(400));
    assert!(matches!(table.acquire(request(0, ms(5000)), ms(400)), Entry::Granted(_)));
    let entry = table.acquire(request(0, ms(700)), ms(600));
    assert_eq!(entry, Entry::Refused(Reason::Overloaded), "a renewal may still arrive");
    let entry = table.acquire(request(0, ms(900)), ms(750));
    assert!(matches!(entry, Entry::Queued(_)), "{entry:?}");
}

/// Guards against a refusal of requests for a silent target while the queue has room: the share of
/// one target bounds the load of its shards, which other targets take over.
#[test]
fn share_of_a_silent_target_is_not_bounded() {
    let ms = Stamp::from_millis;
    let mut table = Table::new(options(1));
    for number in 0..2 {
        table.set_target(&target(number), address(), State::Live, ms(0));
        table.allow_until(&target(number), ms(1000), ms(0));
        table.assign(Shard(number), &target(number), Token::new(2, 1), ms(0));
    }
    let mut last =
        |at, count| (0..count).map(|_| table.acquire(request(0, ms(5000)), ms(at))).last();
    assert_eq!(last(0, 70), Some(Entry::Refused(Reason::Overloaded)));
    assert!(matches!(last(750, 10), Some(Entry::Queued(_))));
    assert!(matches!(table.acquire(request(1, ms(5000)), ms(750)), Entry::Granted(_)));
}
