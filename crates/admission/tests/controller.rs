//! Tests of the controller: wakeups, cancellation and deadlines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caraway_admission::controller::Completion;
use caraway_admission::controller::Controller;
use caraway_admission::controller::Options;
use caraway_admission::controller::Request;
use caraway_admission::controller::State;
use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

const LONG: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_millis(40);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn target(number: u16) -> name::Target {
    name::Target::new(&format!("lectura-{number:02}"))
}

fn controller(targets: u16, slots: u32) -> Arc<Controller> {
    let controller = Controller::new(Options {
        group: name::Group::new("lectura/med/0"),
        pooled: false,
        slots,
        queue_per_target: 8,
        warmup: Duration::from_secs(2),
    });
    for number in 0..targets {
        controller.set_target(&target(number), address(21000 + number), State::Live);
        controller.allow_until(&target(number), Clock.now() + LONG);
    }
    controller
}

fn request(shard: u32, timeout: Duration) -> Request {
    Request {
        shard: Shard(shard),
        key: Arc::from("escalator-17"),
        tenant: name::Tenant::new("centro"),
        urgency: Urgency::Normal,
        deadline: Clock.now() + timeout,
        avoid: None,
    }
}

/// Guards against a permit for the wrong target, with a wrong token or with a late write deadline.
#[tokio::test]
async fn permit_names_the_owner_and_its_token() {
    let controller = controller(2, 4);
    controller.assign(Shard(7), &target(1), Token::new(4, 2));
    let until = Clock.now() + Duration::from_millis(300);
    controller.allow_until(&target(1), until);
    let permit = controller.acquire(request(7, LONG)).await.expect("permit");
    assert_eq!(permit.target, target(1));
    assert_eq!(permit.address, address(21001));
    assert_eq!(permit.token, Token::new(4, 2));
    assert_eq!(permit.write_before, until);
    assert_eq!(controller.in_flight(Shard(7)), 1);
    permit.finish(Completion::Answered);
    assert_eq!(controller.in_flight(Shard(7)), 0);
    assert_eq!(controller.target_in_flight(&target(1)), 0);
}

/// Guards against a request that is refused or lost during a change of ownership.
#[tokio::test]
async fn request_waits_for_the_assignment() {
    let controller = controller(2, 4);
    let waiting = tokio::spawn({
        let controller = controller.clone();
        async move { controller.acquire(request(3, LONG)).await }
    });
    tokio::time::sleep(SHORT).await;
    assert!(!waiting.is_finished());
    controller.assign(Shard(3), &target(0), Token::new(2, 1));
    let permit = waiting.await.expect("task").expect("permit");
    assert_eq!(permit.target, target(0));
}

/// Guards against a request that waits past its deadline.
#[tokio::test]
async fn deadline_ends_the_wait() {
    let controller = controller(1, 1);
    assert_eq!(controller.acquire(request(3, SHORT)).await.err(), Some(Reason::NoOwner));
    controller.assign(Shard(3), &target(0), Token::new(2, 1));
    let _busy = controller.acquire(request(3, LONG)).await.expect("permit");
    let late = controller.acquire(request(3, SHORT)).await;
    assert_eq!(late.err(), Some(Reason::DeadlineBeforeDispatch));
    controller.allow_until(&target(0), Stamp::default());
    assert_eq!(controller.acquire(request(3, SHORT)).await.err(), Some(Reason::NoTarget));
    assert_eq!(controller.queue_percent(), 0);
}

/// Guards against a dropped future whose request stays in the queue.
#[tokio::test]
async fn dropped_request_leaves_the_queue() {
    let controller = controller(1, 1);
    controller.assign(Shard(3), &target(0), Token::new(2, 1));
    let busy = controller.acquire(request(3, LONG)).await.expect("permit");
    let waiting = tokio::time::timeout(SHORT, controller.acquire(request(3, LONG))).await;
    assert!(waiting.is_err());
    assert_eq!(controller.queue_percent(), 0);
    busy.finish(Completion::Answered);
    assert_eq!(controller.target_in_flight(&target(0)), 0);
}

/// Guards against a permit that leaks when it is sent to a future that is dropped before it is
/// polled again.
#[tokio::test]
async fn permit_of_a_cancelled_waiter_is_returned() {
    let controller = controller(1, 1);
    controller.assign(Shard(3), &target(0), Token::new(2, 1));
    let busy = controller.acquire(request(3, LONG)).await.expect("permit");
    let mut first = Box::pin(controller.acquire(request(3, LONG)));
    assert!(poll_once(first.as_mut()).await);
    busy.finish(Completion::Answered);
    assert_eq!(controller.target_in_flight(&target(0)), 1);
    let second = tokio::spawn({
        let controller = controller.clone();
        async move { controller.acquire(request(3, LONG)).await }
    });
    tokio::time::sleep(SHORT).await;
    drop(first);
    let permit = second.await.expect("task").expect("permit");
    drop(permit);
    assert_eq!(controller.target_in_flight(&target(0)), 0);
}

/// Polls a future once and returns true if it is pending.
async fn poll_once<F: Future>(mut future: std::pin::Pin<&mut F>) -> bool {
    std::future::poll_fn(|context| {
        std::task::Poll::Ready(future.as_mut().poll(context).is_pending())
    })
    .await
}

/// Guards against queued requests that stay after this instance stops coordinating the group.
#[tokio::test]
async fn close_refuses_waiting_and_later_requests() {
    let controller = controller(1, 1);
    let waiting = tokio::spawn({
        let controller = controller.clone();
        async move { controller.acquire(request(3, LONG)).await }
    });
    tokio::time::sleep(SHORT).await;
    controller.close(Reason::NoCoordinator);
    assert_eq!(waiting.await.expect("task").err(), Some(Reason::NoCoordinator));
    assert_eq!(controller.acquire(request(3, LONG)).await.err(), Some(Reason::NoCoordinator));
}

/// Guards against a growing limit of a cold target that takes effect only when another request ends.
#[tokio::test]
async fn ramp_wakes_a_waiting_request() {
    let controller = Controller::new(Options {
        group: name::Group::new("lectura/med/0"),
        pooled: false,
        slots: 2,
        queue_per_target: 8,
        warmup: Duration::from_millis(150),
    });
    controller.set_target(&target(0), address(21000), State::Cold);
    controller.allow_until(&target(0), Clock.now() + LONG);
    controller.assign(Shard(3), &target(0), Token::new(2, 1));
    let _first = controller.acquire(request(3, LONG)).await.expect("permit");
    let second = tokio::time::timeout(LONG / 10, controller.acquire(request(3, LONG))).await;
    assert!(second.expect("in time").is_ok());
}

/// Guards against lost wakeups, leaked permits and exceeded slots when many tasks acquire, cancel
/// and finish concurrently while a shard changes its owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_use_leaks_nothing() {
    const TASKS: u32 = 16;
    const ROUNDS: u32 = 200;
    let controller = controller(2, 2);
    for shard in 0..4 {
        controller.assign(Shard(shard), &target(0), Token::new(2, 1));
    }
    let mut tasks = Vec::new();
    for task in 0..TASKS {
        let controller = controller.clone();
        tasks.push(tokio::spawn(async move {
            let mut sent = 0;
            for round in 0..ROUNDS {
                let request = request((task + round) % 4, LONG);
                let timeout = Duration::from_micros(u64::from((task * 7 + round * 13) % 500));
                let acquire = tokio::time::timeout(timeout, controller.acquire(request));
                let Ok(Ok(permit)) = acquire.await else { continue };
                assert!(controller.target_in_flight(&permit.target) <= 2);
                tokio::task::yield_now().await;
                sent += 1;
                permit.finish(Completion::Answered);
            }
            sent
        }));
    }
    for change in 0..50 {
        controller.pause(Shard(0));
        tokio::time::sleep(Duration::from_millis(1)).await;
        controller.assign(Shard(0), &target(change % 2), Token::new(2, u64::from(change)));
    }
    let mut sent = 0;
    for task in tasks {
        sent += tokio::time::timeout(LONG, task).await.expect("in time").expect("task");
    }
    assert!(sent > 0);
    assert_eq!(controller.queue_percent(), 0);
    assert_eq!(
        controller.target_in_flight(&target(0)) + controller.target_in_flight(&target(1)),
        0
    );
    let last = tokio::time::timeout(LONG, controller.acquire(request(0, LONG))).await;
    assert!(last.expect("in time").is_ok());
}
