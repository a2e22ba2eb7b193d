//! Checks of a stated placement: every shard is in exactly one range, and every range has a group.

use serde_json::Value;

use caraway_core::finding::Report;

use crate::check;
use crate::relation;
use crate::relation::Seen;

/// Highest shard that the rule of the fields allows; higher ones have a finding already.
const SHARD_MAX: u64 = 65_535;

/// A range of the placement whose fields have valid shapes.
struct Range {
    first: u64,
    last: u64,
    place: String,
}

/// Checks the placement of a service, if it has one.
pub fn check(service: &Value, place: &str, report: &mut Report) {
    let rows = service.get("placement").and_then(Value::as_array);
    if rows.is_none_or(Vec::is_empty) {
        return;
    }
    groups(service, place, report);
    if let Some(shards) = relation::shards(service) {
        coverage(service, shards, place, report);
    }
}

/// A group has one contiguous range, so it is listed at most once.
fn groups(service: &Value, place: &str, report: &mut Report) {
    let Some(name) = relation::text(service, "name") else { return };
    let mut known = Vec::new();
    for (domain, count) in relation::group_counts(service) {
        known.extend((0..count).map(|number| format!("{name}/{domain}/{number}")));
    }
    known.sort_unstable();
    let mut seen = Seen::new();
    for (index, row) in relation::list(service, "placement") {
        let Some(group) = relation::text(row, "group") else { continue };
        let place = format!("{place}/{index}/group");
        seen.add(group, &place, report);
        if check::is_group(group) && !known.iter().any(|known| known == group) {
            let problem = format!("no group {group:?}: no targets of the service form it");
            report.add(&place, &problem, &known.join(", "));
        }
    }
}

/// Reports ranges that are empty, overlap or leave the shards, and shards without a range.
fn coverage(service: &Value, shards: u64, place: &str, report: &mut Report) {
    let mut ranges = Vec::new();
    let mut complete = true;
    for (index, row) in relation::list(service, "placement") {
        let place = format!("{place}/{index}");
        let end = |name| relation::number(row, name).filter(|shard| *shard <= SHARD_MAX);
        let (Some(first), Some(last)) = (end("first"), end("last")) else {
            complete = false;
            continue;
        };
        if last < first || last >= shards {
            let allowed = format!("from first to {}", shards.saturating_sub(1));
            report.add(&format!("{place}/last"), &last.to_string(), &allowed);
            complete = false;
            continue;
        }
        ranges.push(Range { first, last, place });
    }
    ranges.sort_by_key(|range| range.first);
    let mut next = 0;
    let mut missing = Vec::new();
    for range in &ranges {
        if range.first < next {
            let problem =
                format!("shards {} to {} are placed twice", range.first, range.last.min(next - 1));
            report.add(&format!("{}/first", range.place), &problem, "every shard in one range");
        }
        if range.first > next {
            missing.push(format!("{next} to {}", range.first - 1));
        }
        next = next.max(range.last + 1);
    }
    if next < shards {
        missing.push(format!("{next} to {}", shards - 1));
    }
    // A range that cannot be read may hold the missing shards and has its own finding.
    if complete && !missing.is_empty() {
        let problem = format!("no range has shards {}", missing.join(", "));
        report.add(place, &problem, "every shard in one range");
    }
}
