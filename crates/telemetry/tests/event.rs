//! Tests of the log events, their limit and the log lines.

// The lint settings allow this in test functions; this extends it to the helpers beside them.
#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::Record;
use serde_json::Value;

use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_telemetry::event;
use caraway_telemetry::event::Definition;
use caraway_telemetry::event::Event;
use caraway_telemetry::limit::Decision;
use caraway_telemetry::limit::EVENTS_PER_WINDOW;
use caraway_telemetry::limit::Limiter;
use caraway_telemetry::line;
use caraway_telemetry::logger;
use caraway_telemetry::logger::Format;

const CATALOGUE: &str = include_str!("../../../docs/events.md");

/// Returns the rows of the catalogue whose first cell is a number.
fn rows() -> Vec<Vec<&'static str>> {
    CATALOGUE
        .lines()
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>())
        .filter(|cells| cells.first().is_some_and(|cell| cell.parse::<u16>().is_ok()))
        .collect()
}

/// Guards against an event that nothing emits: an operator would wait for a line that never comes.
#[test]
fn every_event_is_emitted_somewhere() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut sources = String::new();
    for part in ["bins", "crates"] {
        collect(&root.join(part), &mut sources);
    }
    let named = |entry: &Definition| {
        let words = entry.name.split('-').map(|word| {
            let (first, rest) = word.split_at(1);
            format!("{}{rest}", first.to_uppercase())
        });
        format!("Event::{} ", words.collect::<String>())
    };
    let silent: Vec<&str> = event::DEFINITIONS
        .iter()
        .filter(|entry| !sources.contains(&named(entry)))
        .map(|entry| entry.name)
        .collect();
    assert!(silent.is_empty(), "{silent:?}");
}

/// Collects the text of the source files below a directory, but for tests and for the list itself.
fn collect(directory: &Path, sources: &mut String) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && !path.ends_with("tests") {
            collect(&path, sources);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            sources.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

/// Guards against an event without a description, a description without an event, and a wrong level,
/// name or list of fields in the catalogue.
#[test]
fn the_catalogue_lists_exactly_the_events() {
    let listed: Vec<_> = rows().iter().map(|cells| cells[..4].join(" | ")).collect();
    let known: Vec<_> = event::DEFINITIONS
        .iter()
        .map(|entry| {
            let level = entry.level.as_str().to_ascii_lowercase();
            format!("{} | {level} | {} | {}", entry.number, entry.name, entry.fields.join(", "))
        })
        .collect();
    assert_eq!(listed, known);
    assert!(
        rows().iter().all(|cells| cells.len() == 6 && cells[4..].iter().all(|c| !c.is_empty()))
    );
}

/// Guards against a number or name used twice, and against a field that hides a member of a JSON line.
#[test]
fn numbers_and_names_are_unique() {
    for pair in event::DEFINITIONS.windows(2) {
        assert!(pair[0].number < pair[1].number, "{pair:?}");
    }
    let mut names: Vec<_> = event::DEFINITIONS.iter().map(|entry| entry.name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), event::DEFINITIONS.len());
    let reserved = ["time", "level", "module", "message", "event", "name"];
    let fields = event::DEFINITIONS.iter().flat_map(|entry| entry.fields);
    assert!(fields.clone().all(|field| !reserved.contains(field)));
}

/// Guards against a flood of one event that hides others, and against lost counts.
#[test]
fn each_number_has_its_own_limit() {
    let mut limiter = Limiter::new();
    let at = Stamp::from_millis;
    for _ in 0..EVENTS_PER_WINDOW {
        assert_eq!(limiter.decide(408, at(5)), Decision::Emit { suppressed: 0 });
    }
    for _ in 0..7 {
        assert_eq!(limiter.decide(408, at(900)), Decision::Suppress);
    }
    assert_eq!(limiter.decide(409, at(900)), Decision::Emit { suppressed: 0 });
    assert_eq!(limiter.decide(408, at(1004)), Decision::Suppress);
    assert_eq!(limiter.decide(408, at(1005)), Decision::Emit { suppressed: 8 });
    assert_eq!(limiter.decide(408, at(1006)), Decision::Emit { suppressed: 0 });
}

/// Guards against a count that stays unreported because no further event of the number occurs.
#[test]
fn ended_windows_report_their_counts_once() {
    let mut limiter = Limiter::new();
    let at = Stamp::from_millis;
    for _ in 0..EVENTS_PER_WINDOW + 3 {
        limiter.decide(408, at(0));
    }
    limiter.decide(409, at(0));
    assert_eq!(limiter.drain_ended(at(999)), []);
    assert_eq!(limiter.drain_ended(at(1000)), [(408, 3)]);
    assert_eq!(limiter.drain_ended(at(2000)), []);
}

/// Guards against a clock that steps back, which must not reopen the limit for ever.
#[test]
fn an_earlier_stamp_stays_in_the_window() {
    let mut limiter = Limiter::new();
    for _ in 0..EVENTS_PER_WINDOW {
        limiter.decide(408, Stamp::from_millis(5000));
    }
    assert_eq!(limiter.decide(408, Stamp::from_millis(10)), Decision::Suppress);
}

fn record<T>(event: &Event, read: impl FnOnce(&Record<'_>) -> T) -> T {
    let fields = event.fields();
    read(
        &Record::builder()
            .level(event.level())
            .target(event::TARGET)
            .key_values(&fields)
            .args(format_args!("{}", event.message()))
            .build(),
    )
}

#[yare::parameterized(
    epoch = { 0, "1970-01-01T00:00:00.000Z" },
    leap_day = { 1_709_210_096_789, "2024-02-29T12:34:56.789Z" },
    last_of_year = { 1_767_225_599_999, "2025-12-31T23:59:59.999Z" },
    century = { 4_107_542_400_000, "2100-03-01T00:00:00.000Z" },
)]
fn timestamps_are_utc(millis: u64, expected: &str) {
    assert_eq!(line::timestamp(UNIX_EPOCH + Duration::from_millis(millis)), expected);
}

#[test]
fn a_json_line_has_number_name_and_typed_fields() {
    let event = Event::TargetSilent {
        target: name::Target::new("lectura-1"),
        group: name::Group::new("lectura/med/0"),
        silent_ms: 256,
    };
    let text = record(&event, |record| line::json(SystemTime::UNIX_EPOCH, record));
    let line: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(line["event"], 206);
    assert_eq!(line["name"], "target-silent");
    assert_eq!(line["level"], "warn");
    assert_eq!(line["group"], "lectura/med/0");
    assert_eq!(line["silent_ms"], 256);
    assert_eq!(line["time"], "1970-01-01T00:00:00.000Z");
}

/// Guards against a forged log line: a request ID from outside contains a line break.
#[yare::parameterized(text = { Format::Text }, json = { Format::Json })]
fn a_line_break_in_a_field_does_not_start_a_line(format: Format) {
    let event = Event::ConfigurationRefused {
        revision: 1,
        error: "k\n2026-12-04T00:00:00.000Z INFO  102 process-ready: forged".into(),
    };
    let lines = record(&event, |record| match format {
        Format::Text => line::text(SystemTime::UNIX_EPOCH, record),
        Format::Json => line::json(SystemTime::UNIX_EPOCH, record),
    });
    assert_eq!(lines.lines().count(), 1, "{lines}");
}

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against an emitter that ignores the level, the limit or the count of suppressed events. The
/// only test that installs the logger of the process.
#[test]
fn emitted_events_pass_level_and_limit() {
    let buffer = Buffer::default();
    let output = fern::Output::writer(Box::new(buffer.clone()), "\n");
    logger::dispatch(Format::Json, LevelFilter::Warn).chain(output).apply().unwrap();
    event::emit(Event::ProcessReady { config_version: 3 });
    for revision in 0..EVENTS_PER_WINDOW + 5 {
        event::emit(Event::ConfigurationRefused { revision: revision.into(), error: "e".into() });
    }
    event::flush();
    let lines = |text: &[u8]| String::from_utf8(text.to_vec()).unwrap().lines().count();
    assert_eq!(lines(&buffer.0.lock().unwrap()), usize::try_from(EVENTS_PER_WINDOW).unwrap());
    std::thread::sleep(Duration::from_millis(1100));
    event::flush();
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let last: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!(
        (&last["event"], &last["number"], &last["count"]),
        (&105.into(), &506.into(), &5.into())
    );
}

/// Guards against an error that does not say which file it is about.
#[test]
fn a_log_file_that_cannot_be_opened_is_named() {
    let options =
        logger::Options { file: Some("/nonexistent/caraway.log".into()), ..Default::default() };
    let error = logger::install(&options).unwrap_err().to_string();
    assert!(error.contains("/nonexistent/caraway.log"), "{error}");
}
