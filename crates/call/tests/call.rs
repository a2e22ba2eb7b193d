//! Tests of timeouts, the retry budget and attempts.

use std::time::Duration;

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;

use caraway_call::attempt::Attempts;
use caraway_call::attempt::Event;
use caraway_call::attempt::Policy;
use caraway_call::attempt::Verdict;
use caraway_call::budget::Budget;
use caraway_call::timeout;
use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;
use caraway_core::time::Stamp;

const READING: Policy = Policy { repeatable: true, buffered: true, max_attempts: 3 };
const ORDER: Policy = Policy { repeatable: false, buffered: true, max_attempts: 1 };
const UPLOAD: Policy = Policy { repeatable: true, buffered: false, max_attempts: 3 };

const RETRY: Verdict = Verdict::Retry;

fn refused(reason: Reason) -> Verdict {
    Verdict::End(Outcome::Refused(reason))
}

fn unknown(reason: Reason) -> Verdict {
    Verdict::End(Outcome::Unknown(reason))
}

#[yare::parameterized(
    reading_connect = { Event::ConnectFailed, READING, RETRY },
    order_connect = { Event::ConnectFailed, ORDER, RETRY },
    upload_connect = { Event::ConnectFailed, UPLOAD, refused(Reason::ConnectFailed) },
    order_unsent = { Event::Unsent, ORDER, RETRY },
    order_refused = { Event::Refused(Reason::TargetRefused), ORDER, RETRY },
    upload_refused = { Event::Refused(Reason::TargetRefused), UPLOAD, refused(Reason::TargetRefused) },
    reading_lost = { Event::Lost, READING, RETRY },
    order_lost = { Event::Lost, ORDER, unknown(Reason::ConnectionLost) },
    upload_lost = { Event::Lost, UPLOAD, unknown(Reason::ConnectionLost) },
    reading_bad_answer = { Event::BadAnswer, READING, RETRY },
    order_bad_answer = { Event::BadAnswer, ORDER, unknown(Reason::BadAnswer) },
    order_body_lost = { Event::BodyLost, ORDER, unknown(Reason::ConnectionLost) },
    late_unsent = { Event::TimedOut { written: false }, ORDER, refused(Reason::DeadlineBeforeDispatch) },
    late_sent = { Event::TimedOut { written: true }, READING, unknown(Reason::DeadlineAfterDispatch) },
)]
fn first_attempt(event: Event, policy: Policy, verdict: Verdict) {
    assert_eq!(Attempts::new().record(event, policy), verdict);
}

proptest! {
    /// Guards against reporting "did not run" for a request that an earlier attempt may have run, and
    /// against more runs than the policy allows.
    #[test]
    fn attempts_keep_possible_runs(events in prop::collection::vec(0..7usize, 1..10), limit in 1..5u32) {
        let policy = Policy { max_attempts: limit, ..READING };
        let all = [
            Event::ConnectFailed,
            Event::Unsent,
            Event::Refused(Reason::TargetRefused),
            Event::Lost,
            Event::BadAnswer,
            Event::TimedOut { written: false },
            Event::TimedOut { written: true },
        ];
        let mut attempts = Attempts::new();
        let mut runs = 0;
        for index in events {
            let event = all[index];
            runs += u32::from(event.may_have_run());
            let verdict = attempts.record(event, policy);
            let consistent = !matches!(verdict, Verdict::End(Outcome::Refused(_))) || runs == 0;
            prop_assert!(consistent, "{verdict:?} after {runs} possible runs");
            if verdict != RETRY {
                break;
            }
            prop_assert!(runs < limit || !event.may_have_run());
        }
    }

    /// Guards against a timeout of a hop that exceeds the remaining time.
    #[test]
    fn timeouts_only_shrink(start in any::<u32>(), class in any::<u32>(), requested in any::<Option<u32>>(), elapsed in any::<u32>()) {
        let arrived = Stamp::from_micros(u64::from(start));
        let class = Duration::from_micros(u64::from(class));
        let requested = requested.map(|requested| Duration::from_micros(u64::from(requested)));
        let deadline = timeout::deadline(arrived, class, requested);
        prop_assert!(deadline <= arrived + class);
        let now = arrived + Duration::from_micros(u64::from(elapsed));
        let remaining = timeout::remaining(deadline, now);
        let timeout = timeout::for_hop(deadline, now);
        prop_assert!(timeout.unwrap_or_default() <= remaining.unwrap_or_default());
        prop_assert!(timeout != Some(Duration::ZERO));
    }

    /// Guards against retry storms: retries never exceed 20% of the requests of the last 10 s plus 10.
    #[test]
    fn retries_stay_within_the_budget(steps in prop::collection::vec((0..3000u64, 0..20u64), 1..60)) {
        let mut budget = Budget::new();
        let mut now = 5_000_000;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (wait, count) in steps {
            now += wait;
            for _ in 0..count {
                budget.record_request(Stamp::from_millis(now));
                requests.push(now);
                if !budget.try_retry(Stamp::from_millis(now)) {
                    continue;
                }
                retries.push(now);
                // Requests in a bucket that is only partly within the window still count.
                let recent = |times: &[u64], window| times.iter().filter(|t| now - **t < window).count();
                prop_assert!(recent(&retries, 10_000) <= recent(&requests, 10_500) / 5 + 10);
            }
        }
    }
}

/// Guards against reporting only that the deadline passed, without the failure that used up the time.
#[test]
fn expired_deadline_names_the_last_failure() {
    let mut attempts = Attempts::new();
    let late = Reason::DeadlineBeforeDispatch;
    assert_eq!(attempts.conclude(late), Outcome::Refused(late));
    assert_eq!(attempts.record(Event::ConnectFailed, ORDER), RETRY);
    assert_eq!(attempts.conclude(late), Outcome::Refused(Reason::ConnectFailed));
    assert_eq!(attempts.conclude(Reason::NoOwner), Outcome::Refused(Reason::NoOwner));
}

/// Guards against a budget that stays exhausted.
#[test]
fn budget_recovers() {
    let mut budget = Budget::new();
    let first = Stamp::from_millis(60_000);
    assert_eq!((0..100).filter(|_| budget.try_retry(first)).count(), 10);
    assert!(!budget.try_retry(Stamp::from_millis(69_999)));
    assert!(budget.try_retry(Stamp::from_millis(70_500)));
}
