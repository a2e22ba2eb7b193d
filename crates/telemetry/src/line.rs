//! Formatting of log records as text or JSON lines.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Record;
use log::kv;
use serde_json::Map;
use serde_json::Value;

/// Formats a record as one line of text.
///
/// Control characters of the message are escaped: untrusted text such as a request ID could
/// otherwise forge log lines.
pub fn text(time: SystemTime, record: &Record<'_>) -> String {
    let fields = fields(record);
    let event = match (fields.get("event"), fields.get("name")) {
        (Some(number), Some(Value::String(name))) => format!("{number} {name}"),
        _ => record.target().to_owned(),
    };
    let message = escape(&record.args().to_string());
    format!("{} {:5} {event}: {message}", timestamp(time), record.level())
}

/// Formats a record as one line of JSON.
pub fn json(time: SystemTime, record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("time".into(), timestamp(time).into());
    line.insert("level".into(), record.level().as_str().to_ascii_lowercase().into());
    line.insert("module".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    line.extend(fields(record));
    Value::Object(line).to_string()
}

fn escape(message: &str) -> String {
    let mut escaped = String::with_capacity(message.len());
    for c in message.chars() {
        if c.is_control() {
            escaped.extend(c.escape_default());
        } else {
            escaped.push(c);
        }
    }
    escaped
}

fn fields(record: &Record<'_>) -> Map<String, Value> {
    struct Collector(Map<String, Value>);

    impl<'kvs> kv::VisitSource<'kvs> for Collector {
        fn visit_pair(
            &mut self,
            key: kv::Key<'kvs>,
            value: kv::Value<'kvs>,
        ) -> Result<(), kv::Error> {
            let value = match value.to_u64() {
                Some(number) => Value::from(number),
                None => Value::from(value.to_string()),
            };
            self.0.insert(key.as_str().to_owned(), value);
            Ok(())
        }
    }

    let mut collector = Collector(Map::new());
    // Neither the collector nor the key-value sources of this crate return errors.
    let _ = record.key_values().visit(&mut collector);
    collector.0
}

/// Formats a time as an RFC 3339 timestamp in UTC with milliseconds. Times before 1970 are clamped
/// to 1970-01-01T00:00:00.000Z.
pub fn timestamp(time: SystemTime) -> String {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let (year, month, day) = civil_from_days(since_epoch.as_secs() / 86_400);
    let second = since_epoch.as_secs() % 86_400;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        second / 3600,
        second / 60 % 60,
        second % 60,
        since_epoch.subsec_millis()
    )
}

/// Converts days since 1970-01-01 to the year, month and day of the Gregorian calendar.
///
/// The algorithm counts years from March, so that the leap day is the last day of a year
/// (Howard Hinnant, "chrono-Compatible Low-Level Date Algorithms", `civil_from_days`).
fn civil_from_days(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
