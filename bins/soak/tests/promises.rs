//! Every check sees the promise that it guards broken, and nothing in a record without a fault.

#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use caraway_production::target::Hold;
use caraway_production::target::Run;
use caraway_soak::check::Call;
use caraway_soak::check::End;
use caraway_soak::check::Kind;
use caraway_soak::check::Notice;
use caraway_soak::check::Record;
use caraway_soak::check::Stop;
use caraway_soak::check::Version;
use caraway_soak::check::findings;
use caraway_soak::cluster;
use caraway_soak::plan;
use caraway_soak::plan::Size;

const SECOND: Duration = Duration::from_secs(1);

fn run(attempt: &str, at: Instant) -> Run {
    Run {
        target: "t".to_owned(),
        attempt: attempt.to_owned(),
        path: "/order/x".to_owned(),
        key: None,
        headers: vec![],
        body: vec![],
        at,
        heard: true,
    }
}

fn record(end: End, runs: usize) -> Record {
    let sent = Instant::now();
    let call = Call {
        attempt: "a".to_owned(),
        kind: Kind::Order,
        instance: 0,
        sent,
        ended: sent + SECOND,
        end,
    };
    let runs = (0..runs).map(|_| run("a", sent)).collect();
    Record { calls: vec![call], runs, ..Record::default() }
}

fn promises(record: &Record) -> Vec<&'static str> {
    findings(record).iter().map(|finding| finding.promise).collect()
}

/// Guards against a check that sees nothing, or a fault where there is none.
#[yare::parameterized(
    served = { 200, true, 1, None },
    doubled = { 200, true, 2, Some("an order runs at most once") },
    refused = { 503, false, 0, None },
    refused_and_ran = { 503, false, 1, Some("a request that was refused has not run") },
    misdirected_and_ran = { 421, false, 1, Some("a request that was refused has not run") },
    unknown = { 502, false, 1, None },
    of_another = { 200, false, 1, Some("a success is the whole answer to the request") },
)]
fn answers_are_checked(status: u16, own: bool, runs: usize, promise: Option<&'static str>) {
    let record = record(End::Answered { status, own }, runs);
    assert_eq!(promises(&record), promise.into_iter().collect::<Vec<_>>());
}

/// Guards against a planned stop that cuts requests without a finding, and against a finding for a cut
/// at another time or of a request that no target ran.
#[yare::parameterized(
    during_the_stop = { 0, 1, true },
    not_passed_on = { 0, 0, false },
    at_another_instance = { 1, 1, false },
)]
fn cuts_by_planned_stops_are_checked(instance: usize, runs: usize, broken: bool) {
    let mut record = record(End::Cut, runs);
    let from = record.calls.first().unwrap().sent;
    record.stops.push(Stop { instance, from, until: from + 5 * SECOND });
    let expected =
        if broken { vec!["a planned stop cuts no request that a target runs"] } else { vec![] };
    assert_eq!(promises(&record), expected);
}

/// Guards against requests to a leaving target without a finding.
#[yare::parameterized(
    in_time = { 1900, false },
    late = { 2100, true },
    after_other_faults = { 4100, false },
)]
fn late_requests_to_leaving_targets_are_checked(after_ms: u64, broken: bool) {
    let mut record = record(End::Answered { status: 200, own: true }, 1);
    let at = record.runs.first().unwrap().at;
    record.runs.first_mut().unwrap().at = at + Duration::from_millis(after_ms);
    record.notices.push(Notice { target: "t".to_owned(), at, until: at + 4 * SECOND });
    let expected =
        if broken { vec!["a leaving target gets no requests after its notice"] } else { vec![] };
    assert_eq!(promises(&record), expected);
}

/// Guards against a version that goes back without a finding. A new process may begin with an older one.
#[yare::parameterized(
    back = { 1, true },
    another_process = { 2, false },
)]
fn versions_are_checked(process: u32, broken: bool) {
    let version = |process, version| Version { instance: 0, process, version };
    let versions = vec![version(1, 3), version(1, 5), version(process, 4)];
    let record = Record { versions, ..Record::default() };
    let expected = if broken { vec!["a configuration never goes back"] } else { vec![] };
    assert_eq!(promises(&record), expected);
}

/// Guards against versions that are read from the wrong lines, or of another process.
#[test]
fn versions_are_read_from_logs() {
    let log = "{\"name\":\"edge-started\"}\n{\"name\":\"configuration-applied\",\"version\":4}\n\
               half a line\n{\"name\":\"configuration-old\",\"version\":2}\n\
               {\"name\":\"edge-started\"}\n{\"name\":\"configuration-applied\",\"version\":3}\n";
    let seen = cluster::applied_versions(7, log);
    let rows: Vec<_> = seen.iter().map(|v| (v.instance, v.process, v.version)).collect();
    assert_eq!(rows, [(7, 1, 4), (7, 2, 3)]);
}

/// Guards against runs that nobody asked for, two owners, and requests that stay unserved.
#[test]
fn the_other_promises_are_checked() {
    let now = Instant::now();
    let hold = Hold {
        target: "t".to_owned(),
        born: 1,
        first: 0,
        last: 9,
        fence: 2,
        from: now,
        until: now + SECOND,
    };
    let record = Record {
        runs: vec![run("nobody", now)],
        conflicts: vec![(hold.clone(), hold)],
        unserved: vec!["a key".to_owned()],
        ..Record::default()
    };
    let expected = [
        "a key has one owner",
        "a target runs what a caller sent",
        "everything is served again after the last fault",
    ];
    assert_eq!(promises(&record), expected);
}

/// Guards against a seed that stands for another schedule after a change of the soak, and against
/// schedules that do not overlap or leave kinds of faults out.
#[test]
fn a_seed_makes_a_schedule_of_overlapping_faults() {
    let (size, duration) = (Size::default(), 20 * SECOND);
    let steps = plan::schedule(5, &size, duration);
    assert_eq!(steps, plan::schedule(5, &size, duration));
    assert!(steps.iter().all(|step| step.at + step.duration <= duration));
    let overlapping = steps.windows(2).filter(|pair| match pair {
        [a, b] => b.at < a.at + a.duration,
        _ => false,
    });
    assert!(overlapping.count() > 10);
    let mut kinds: Vec<String> = (0..20)
        .flat_map(|seed| plan::schedule(seed, &size, duration))
        .map(|step| format!("{:?}", step.fault).chars().take_while(|c| c.is_alphabetic()).collect())
        .collect();
    kinds.sort();
    kinds.dedup();
    assert_eq!(kinds.len(), 13, "{kinds:?}");
}
