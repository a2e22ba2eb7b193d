//! Tests of revoked permits and of requests for a silent target.
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
use caraway_admission::scheduler::Admission;
use caraway_admission::scheduler::Scheduler;
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

fn controller() -> Arc<Controller> {
    let controller = Controller::new(options(4));
    for number in 0..2 {
        controller.set_target(&target(number), address(), State::Live);
        controller.allow_until(&target(number), Clock.now() + LONG);
        controller.assign(Shard(number), &target(number), Token::new(2, 1));
    }
    controller
}

/// Guards against an attempt that waits for a lost target, and against one that is abandoned because
/// a different target was lost.
#[tokio::test]
async fn loss_revokes_the_permits_of_the_target() {
    let controller = controller();
    let lost = controller.acquire(request(0, Clock.now() + LONG)).await.unwrap();
    let kept = controller.acquire(request(1, Clock.now() + LONG)).await.unwrap();
    assert!(timeout(SHORT, lost.revoked()).await.is_err());
    let wait = lost.revoked();
    tokio::pin!(wait);
    assert!(timeout(SHORT, wait.as_mut()).await.is_err());
    controller.set_target(&target(0), address(), State::Lost);
    assert!(timeout(LONG, wait).await.is_ok());
    assert!(timeout(SHORT, kept.revoked()).await.is_err());
    // The target is back, but the grant that the permit was based on has ended.
    controller.set_target(&target(0), address(), State::Live);
    assert!(timeout(LONG, lost.revoked()).await.is_ok());
    let again = controller.acquire(request(0, Clock.now() + LONG)).await.unwrap();
    assert!(timeout(SHORT, again.revoked()).await.is_err());
}

/// Guards against an attempt that is not told when this instance stops coordinating its group.
#[tokio::test]
async fn close_revokes_all_permits() {
    let controller = controller();
    let permit = controller.acquire(request(0, Clock.now() + LONG)).await.unwrap();
    controller.close(Reason::Misdirected);
    assert!(timeout(LONG, permit.revoked()).await.is_ok());
}

/// Guards against a refusal of requests whose shard is about to move. The service time of a target
/// that does not acknowledge renewals does not predict how long they wait, as another target will
/// serve them.
#[test]
fn request_for_a_silent_target_waits() {
    let ms = Stamp::from_millis;
    let mut scheduler = Scheduler::new(options(1));
    scheduler.set_target(&target(0), address(), State::Live, ms(0));
    scheduler.allow_until(&target(0), ms(1000), ms(0));
    scheduler.assign(Shard(0), &target(0), Token::new(2, 1), ms(0));
    let Admission::Granted(grant) = scheduler.acquire(request(0, ms(5000)), ms(0)) else {
        panic!("a slot is free")
    };
    scheduler.finish(grant.sequence, Some(Completion::Answered), ms(400));
    assert!(matches!(scheduler.acquire(request(0, ms(5000)), ms(400)), Admission::Granted(_)));
    let admission = scheduler.acquire(request(0, ms(700)), ms(600));
    assert_eq!(admission, Admission::Refused(Reason::Overloaded), "a renewal may still arrive");
    let admission = scheduler.acquire(request(0, ms(900)), ms(750));
    assert!(matches!(admission, Admission::Queued(_)), "{admission:?}");
}

/// Guards against a refusal of requests for a silent target while the queue has room. The limit per
/// target does not apply to it, because other targets will take over its shards.
#[test]
fn share_of_a_silent_target_is_not_bounded() {
    let ms = Stamp::from_millis;
    let mut scheduler = Scheduler::new(options(1));
    for number in 0..2 {
        scheduler.set_target(&target(number), address(), State::Live, ms(0));
        scheduler.allow_until(&target(number), ms(1000), ms(0));
        scheduler.assign(Shard(number), &target(number), Token::new(2, 1), ms(0));
    }
    let mut last =
        |at, count| (0..count).map(|_| scheduler.acquire(request(0, ms(5000)), ms(at))).last();
    assert_eq!(last(0, 70), Some(Admission::Refused(Reason::Overloaded)));
    assert!(matches!(last(750, 10), Some(Admission::Queued(_))));
    assert!(matches!(scheduler.acquire(request(1, ms(5000)), ms(750)), Admission::Granted(_)));
}
