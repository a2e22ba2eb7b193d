//! Tests of the event catalog, the rate limiter and the formatting of log lines.

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

const CATALOG_PAGE: &str = include_str!("../../../docs/events.md");

/// Returns the table rows of the catalog page whose first cell is an event number.
fn catalog_rows() -> Vec<Vec<&'static str>> {
    CATALOG_PAGE
        .lines()
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>())
        .filter(|cells| cells.first().is_some_and(|cell| cell.parse::<u16>().is_ok()))
        .collect()
}

/// Guards against a documented event that no code emits, for which an operator would wait in vain.
#[test]
fn every_event_is_emitted_somewhere() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut sources = String::new();
    for directory in ["bins", "crates"] {
        collect_sources(&root.join(directory), &mut sources);
    }
    let constructor = |definition: &Definition| {
        let words = definition.name.split('-').map(|word| {
            let (first, rest) = word.split_at(1);
            format!("{}{rest}", first.to_uppercase())
        });
        format!("Event::{} ", words.collect::<String>())
    };
    let never_emitted: Vec<&str> = event::DEFINITIONS
        .iter()
        .filter(|definition| !sources.contains(&constructor(definition)))
        .map(|definition| definition.name)
        .collect();
    assert!(never_emitted.is_empty(), "{never_emitted:?}");
}

/// Appends the text of all Rust files below a directory, except those in directories named `tests`.
fn collect_sources(directory: &Path, sources: &mut String) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && !path.ends_with("tests") {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

/// Guards against a catalog page that misses an event, describes a removed one, or has a wrong
/// level, name or field list.
#[test]
fn the_catalog_page_matches_the_definitions() {
    let documented: Vec<_> = catalog_rows().iter().map(|cells| cells[..4].join(" | ")).collect();
    let defined: Vec<_> = event::DEFINITIONS
        .iter()
        .map(|event| {
            let level = event.level.as_str().to_ascii_lowercase();
            format!("{} | {level} | {} | {}", event.number, event.name, event.fields.join(", "))
        })
        .collect();
    assert_eq!(documented, defined);
    assert!(
        catalog_rows()
            .iter()
            .all(|cells| cells.len() == 6 && cells[4..].iter().all(|c| !c.is_empty()))
    );
}

/// Guards against a duplicate number or name, and against a field that overwrites a standard member
/// of a JSON line.
#[test]
fn numbers_and_names_are_unique() {
    for pair in event::DEFINITIONS.windows(2) {
        assert!(pair[0].number < pair[1].number, "{pair:?}");
    }
    let mut names: Vec<_> = event::DEFINITIONS.iter().map(|event| event.name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), event::DEFINITIONS.len());
    let reserved = ["time", "level", "module", "message", "event", "name"];
    let fields = event::DEFINITIONS.iter().flat_map(|event| event.fields);
    assert!(fields.clone().all(|field| !reserved.contains(field)));
}

/// Guards against a flood of one event that suppresses others, and against lost counts.
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

/// Guards against a suppressed count that is never reported because no further event of its number
/// occurs.
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

/// Guards against a backward clock step that starts a new window and so disables the limit.
#[test]
fn an_earlier_timestamp_stays_in_the_window() {
    let mut limiter = Limiter::new();
    for _ in 0..EVENTS_PER_WINDOW {
        limiter.decide(408, Stamp::from_millis(5000));
    }
    assert_eq!(limiter.decide(408, Stamp::from_millis(10)), Decision::Suppress);
}

fn with_record<T>(event: &Event, f: impl FnOnce(&Record<'_>) -> T) -> T {
    let fields = event.fields();
    f(&Record::builder()
        .level(event.level())
        .target(event::TARGET)
        .key_values(&fields)
        .args(format_args!("{}", event.message()))
        .build())
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
    let text = with_record(&event, |record| line::json(SystemTime::UNIX_EPOCH, record));
    let line: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(line["event"], 206);
    assert_eq!(line["name"], "target-silent");
    assert_eq!(line["level"], "warn");
    assert_eq!(line["group"], "lectura/med/0");
    assert_eq!(line["silent_ms"], 256);
    assert_eq!(line["time"], "1970-01-01T00:00:00.000Z");
}

/// Guards against log forging: a line break in an untrusted field, such as a request ID, would
/// start a new line.
#[yare::parameterized(text = { Format::Text }, json = { Format::Json })]
fn a_line_break_in_a_field_does_not_start_a_line(format: Format) {
    let event = Event::ConfigurationRefused {
        revision: 1,
        error: "k\n2026-12-04T00:00:00.000Z INFO  102 process-ready: forged".into(),
    };
    let lines = with_record(&event, |record| match format {
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

/// Guards against an emitter that ignores the level, the rate limit or the suppressed count. This
/// is the only test that installs the process-wide logger.
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

/// Guards against an error message without the path of the log file.
#[test]
fn the_error_names_a_log_file_that_cannot_be_opened() {
    let options =
        logger::Options { file: Some("/nonexistent/caraway.log".into()), ..Default::default() };
    let error = logger::install(&options).unwrap_err().to_string();
    assert!(error.contains("/nonexistent/caraway.log"), "{error}");
}
