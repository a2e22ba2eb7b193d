//! Each check detects a violation of its invariant, and reports nothing for a correct record.

#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use caraway_production::target::Arrival;
use caraway_production::target::Hold;
use caraway_production::target::Run;
use caraway_soak::check::Call;
use caraway_soak::check::End;
use caraway_soak::check::Evacuation;
use caraway_soak::check::Kind;
use caraway_soak::check::Notice;
use caraway_soak::check::Record;
use caraway_soak::check::Stop;
use caraway_soak::check::Version;
use caraway_soak::check::findings;
use caraway_soak::configuration;
use caraway_soak::plan;
use caraway_soak::plan::Fault;
use caraway_soak::plan::Size;
use caraway_soak::plan::Step;

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

fn violated(record: &Record) -> Vec<&'static str> {
    findings(record).iter().map(|finding| finding.promise).collect()
}

/// Guards against missed violations and false positives in the checks of responses.
#[yare::parameterized(
    served = { 200, true, 1, None },
    doubled = { 200, true, 2, Some("an order runs at most once") },
    refused = { 503, false, 0, None },
    refused_and_ran = { 503, false, 1, Some("a request that was refused has not run") },
    misdirected_and_ran = { 421, false, 1, Some("a request that was refused has not run") },
    unknown = { 502, false, 1, None },
    of_another_request = { 200, false, 1, Some("a success is the whole answer to the request") },
)]
fn responses_are_checked(status: u16, own: bool, runs: usize, invariant: Option<&'static str>) {
    let record = record(End::Answered { status, own }, runs);
    assert_eq!(violated(&record), invariant.into_iter().collect::<Vec<_>>());
}

/// Guards against missing a request that a graceful stop cut off, and against findings for a
/// connection that failed at another instance or for a request that no target executed.
#[yare::parameterized(
    during_the_stop = { 0, 1, true },
    not_forwarded = { 0, 0, false },
    at_another_instance = { 1, 1, false },
)]
fn requests_cut_off_by_graceful_stops_are_checked(instance: usize, runs: usize, violation: bool) {
    let mut record = record(End::Cut, runs);
    let from = record.calls.first().unwrap().sent;
    record.stops.push(Stop { instance, from, until: from + 5 * SECOND });
    let expected =
        if violation { vec!["a planned stop cuts no request that a target runs"] } else { vec![] };
    assert_eq!(violated(&record), expected);
}

/// Guards against missing requests that a stopping instance takes and breaks off, and against findings for those that it
/// took before it stopped or never passed on.
#[yare::parameterized(
    taken_during_the_stop = { 100, 1, true },
    taken_before_the_stop = { 0, 1, false },
    not_forwarded = { 100, 0, false },
)]
fn requests_broken_off_by_graceful_stops_are_checked(sent_ms: u64, runs: usize, violation: bool) {
    let mut record = record(End::BrokenOff, runs);
    let call = record.calls.first_mut().unwrap();
    let from = call.sent + Duration::from_millis(50);
    call.sent += Duration::from_millis(sent_ms);
    record.stops.push(Stop { instance: 0, from, until: from + 5 * SECOND });
    let expected =
        if violation { vec!["a planned stop breaks off no request that it took"] } else { vec![] };
    assert_eq!(violated(&record), expected);
}

/// Guards against missing late requests to a draining target, and against findings for requests within the
/// drain time or after an unplanned fault.
#[yare::parameterized(
    in_time = { 1900, false },
    late = { 2100, true },
    after_an_unplanned_fault = { 4100, false },
)]
fn late_requests_to_draining_targets_are_checked(after_ms: u64, violation: bool) {
    let mut record = record(End::Answered { status: 200, own: true }, 1);
    let at = record.runs.first().unwrap().at;
    record.runs.first_mut().unwrap().at = at + Duration::from_millis(after_ms);
    record.notices.push(Notice { target: "t".to_owned(), at, until: at + 4 * SECOND });
    let expected =
        if violation { vec!["a leaving target gets no requests after its notice"] } else { vec![] };
    assert_eq!(violated(&record), expected);
}

/// Guards against missing late requests to an evacuated domain, and against findings for requests within the
/// bound, after the evacuation or at targets elsewhere.
#[yare::parameterized(
    in_time = { "t", 3900, false },
    late = { "t", 4100, true },
    restored = { "t", 5100, false },
    elsewhere = { "u", 4100, false },
)]
fn late_requests_to_evacuated_domains_are_checked(target: &str, after_ms: u64, violation: bool) {
    let at = Instant::now();
    let arrival = Arrival {
        target: target.to_owned(),
        born: 1,
        attempt: "a".to_owned(),
        at: at + Duration::from_millis(after_ms),
    };
    let targets = vec!["t".to_owned()];
    let record = Record {
        arrivals: vec![arrival],
        evacuations: vec![Evacuation { domain: "a", targets, at, until: at + 5 * SECOND }],
        ..Record::default()
    };
    let expected = if violation {
        vec!["an evacuated domain gets no requests after the bound"]
    } else {
        vec![]
    };
    assert_eq!(violated(&record), expected);
}

/// Guards against missing a configuration version that decreases. A restarted process may begin
/// with an older version.
#[yare::parameterized(
    back = { 1, true },
    another_process = { 2, false },
)]
fn decreasing_versions_are_checked(process: u32, violation: bool) {
    let version = |process, version| Version { instance: 0, process, version };
    let versions = vec![version(1, 3), version(1, 5), version(process, 4)];
    let record = Record { versions, ..Record::default() };
    let expected = if violation { vec!["a configuration never goes back"] } else { vec![] };
    assert_eq!(violated(&record), expected);
}

/// Guards against reading versions from other events, or counting them for the wrong process.
#[test]
fn versions_are_read_from_logs() {
    let log = "{\"name\":\"edge-started\"}\n{\"name\":\"configuration-applied\",\"version\":4}\n\
               half a line\n{\"name\":\"configuration-old\",\"version\":2}\n\
               {\"name\":\"edge-started\"}\n{\"name\":\"configuration-applied\",\"version\":3}\n";
    let seen = configuration::applied_versions(7, log);
    let rows: Vec<_> = seen.iter().map(|v| (v.instance, v.process, v.version)).collect();
    assert_eq!(rows, [(7, 1, 4), (7, 2, 3)]);
}

/// Guards against missing executions that no caller requested, keys with two owners, crashes of cold targets,
/// processes that end by themselves, and requests that stay unserved.
#[test]
fn the_other_invariants_are_checked() {
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
        crashes: vec!["t 1".to_owned()],
        exits: vec!["edge-0".to_owned()],
        unserved: vec!["a key".to_owned()],
        ..Record::default()
    };
    let expected = [
        "a key has one owner",
        "a target runs what a caller sent",
        "a cold target gets no more requests than it tolerates",
        "a process ends only when it is stopped",
        "everything is served again after the last fault",
    ];
    assert_eq!(violated(&record), expected);
}

/// Guards against schedules that are not reproducible from their seed, do not overlap, or omit a
/// kind of fault.
#[test]
fn a_seed_determines_a_schedule_of_overlapping_faults() {
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
    assert_eq!(kinds.len(), 16, "{kinds:?}");
}

/// Guards against additional faults that change the other steps of a seed, so that regression cases no longer
/// run the faults they were found with, and against a kind that is never drawn.
#[test]
fn additional_faults_leave_the_other_steps_of_a_seed_as_they_are() {
    let (size, duration) = (Size::default(), 20 * SECOND);
    let mut evacuations = 0;
    for seed in 0..20 {
        let (basic, mut extended) =
            (plan::schedule(seed, &size, duration), plan::extended_schedule(seed, &size, duration));
        assert!(extended.iter().all(|step| step.at + step.duration <= duration));
        let is_cold = |step: &Step| matches!(step.fault, Fault::Cold(_));
        let is_evacuation = |step: &Step| matches!(step.fault, Fault::Evacuate(_));
        assert!(extended.iter().any(is_cold));
        evacuations += extended.iter().filter(|step| is_evacuation(step)).count();
        extended.retain(|step| !is_cold(step) && !is_evacuation(step));
        assert_eq!(basic, extended);
    }
    assert!(evacuations > 20, "{evacuations} evacuations");
}
