//! Measures acquire and finish of a controller with several threads.
//!
//! Each thread repeats acquire and finish, without a request in between. The targets have more slots
//! than there are threads, so no request waits and the result is the cost of the controller itself.
//! The last row of each kind uses one slot per target, so that requests queue and wake each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use caraway_admission::controller::Completion;
use caraway_admission::controller::Controller;
use caraway_admission::controller::Options;
use caraway_admission::controller::Request;
use caraway_admission::controller::State;
use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Clock;
use caraway_core::token::Token;

const TARGETS: u32 = 4;
const SHARDS: u32 = 64;
const KEYS: u32 = 1024;
const ROUNDS: u32 = 200_000;
const PERMISSION: Duration = Duration::from_secs(600);

fn controller(pooled: bool, slots: u32) -> Arc<Controller> {
    let controller = Controller::new(Options {
        group: name::Group::new("lectura/med/0"),
        pooled,
        slots,
        queue_per_target: 64,
        warmup: Duration::from_secs(2),
    });
    let targets: Vec<name::Target> =
        (0..TARGETS).map(|n| name::Target::new(&format!("lectura-{n:02}"))).collect();
    for target in &targets {
        controller.set_target(target, SocketAddr::from(([127, 0, 0, 1], 21001)), State::Live);
        controller.allow_until(target, Clock.now() + PERMISSION);
        controller.set_token(target, Token::new(2, 1));
    }
    for (shard, target) in (0..SHARDS).zip(targets.iter().cycle()) {
        controller.assign(Shard(shard), target, Token::new(2, 1));
    }
    controller
}

fn requests() -> Vec<Request> {
    let make = |number: u32| Request {
        shard: Shard(number % SHARDS),
        key: Arc::from(format!("escalator-{number}")),
        tenant: name::Tenant::new(if number.is_multiple_of(3) { "centro" } else { "norte" }),
        urgency: Urgency::Normal,
        deadline: Clock.now() + PERMISSION,
        avoid: None,
    };
    (0..KEYS).map(make).collect()
}

/// Runs the rounds of one thread and returns the duration of each in nanoseconds.
async fn rounds(controller: Arc<Controller>, requests: Vec<Request>, thread: u32) -> Vec<u64> {
    let mut times = Vec::new();
    let offset = usize::try_from(thread * 37).unwrap_or(0);
    let order = requests.iter().cycle().skip(offset);
    for (request, _) in order.zip(0..ROUNDS) {
        let request = request.clone();
        let start = Instant::now();
        if let Ok(permit) = controller.acquire(request).await {
            permit.finish(Completion::Answered);
        }
        times.push(u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX));
    }
    times
}

fn run(threads: u32, pooled: bool, slots: u32) {
    let controller = controller(pooled, slots);
    let requests = requests();
    let start = Instant::now();
    let handles: Vec<_> = (0..threads)
        .map(|thread| {
            let (controller, requests) = (controller.clone(), requests.clone());
            std::thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
                runtime.map(|runtime| runtime.block_on(rounds(controller, requests, thread)))
            })
        })
        .collect();
    let mut times: Vec<u64> = Vec::new();
    for handle in handles {
        if let Ok(Ok(part)) = handle.join() {
            times.extend(part);
        }
    }
    let elapsed = start.elapsed().as_secs_f64();
    times.sort_unstable();
    let quantile = |percent: usize| {
        let nanos = times.get(times.len() * percent / 100).copied().unwrap_or(0);
        f64::from(u32::try_from(nanos).unwrap_or(u32::MAX)) / 1000.0
    };
    let count = f64::from(u32::try_from(times.len()).unwrap_or(u32::MAX));
    println!(
        "{:<6} {:>7} {:>5} {:>12.0} {:>8.2} {:>8.2}",
        if pooled { "pooled" } else { "keyed" },
        threads,
        slots,
        count / elapsed,
        quantile(50),
        quantile(99),
    );
}

fn main() {
    println!("group  threads slots     rounds/s   p50 us   p99 us");
    for pooled in [false, true] {
        for threads in [1, 4, 8] {
            run(threads, pooled, 16);
        }
        run(8, pooled, 1);
    }
}
