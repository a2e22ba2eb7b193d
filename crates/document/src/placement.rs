//! Checks of an explicit placement: every shard is in exactly one range, and every range belongs to
//! an existing group.

use serde_json::Value;

use caraway_core::finding::Report;

use crate::check;
use crate::relation;
use crate::relation::Uniqueness;

/// Highest shard that the field rules allow. Higher values already have a finding.
const MAX_SHARD: u64 = 65_535;

/// A range of the placement whose fields passed the shape checks.
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
    check_groups(service, place, report);
    if let Some(shards) = relation::shards(service) {
        check_coverage(service, shards, place, report);
    }
}

/// Reports unknown groups, and groups that are listed more than once: a group has one contiguous
/// range.
fn check_groups(service: &Value, place: &str, report: &mut Report) {
    let Some(name) = relation::text(service, "name") else { return };
    let mut existing = Vec::new();
    for (domain, count) in relation::group_counts(service) {
        existing.extend((0..count).map(|number| format!("{name}/{domain}/{number}")));
    }
    existing.sort_unstable();
    let mut seen = Uniqueness::new();
    for (index, row) in relation::list(service, "placement") {
        let Some(group) = relation::text(row, "group") else { continue };
        let place = format!("{place}/{index}/group");
        seen.add(group, &place, report);
        if check::is_group(group) && !existing.iter().any(|name| name == group) {
            let problem = format!("no group {group:?}: no targets of the service form it");
            report.add(&place, &problem, &existing.join(", "));
        }
    }
}

/// Reports ranges that are empty, overlap or exceed the number of shards, and shards without a
/// range.
fn check_coverage(service: &Value, shards: u64, place: &str, report: &mut Report) {
    let mut ranges = Vec::new();
    let mut all_valid = true;
    for (index, row) in relation::list(service, "placement") {
        let place = format!("{place}/{index}");
        let bound = |name| relation::number(row, name).filter(|shard| *shard <= MAX_SHARD);
        let (Some(first), Some(last)) = (bound("first"), bound("last")) else {
            all_valid = false;
            continue;
        };
        if last < first || last >= shards {
            let allowed = format!("from first to {}", shards.saturating_sub(1));
            report.add(&format!("{place}/last"), &last.to_string(), &allowed);
            all_valid = false;
            continue;
        }
        ranges.push(Range { first, last, place });
    }
    ranges.sort_by_key(|range| range.first);
    let mut next_shard = 0;
    let mut gaps = Vec::new();
    for range in &ranges {
        if range.first < next_shard {
            let problem = format!(
                "shards {} to {} are placed twice",
                range.first,
                range.last.min(next_shard - 1)
            );
            report.add(&format!("{}/first", range.place), &problem, "every shard in one range");
        }
        if range.first > next_shard {
            gaps.push(format!("{next_shard} to {}", range.first - 1));
        }
        next_shard = next_shard.max(range.last + 1);
    }
    if next_shard < shards {
        gaps.push(format!("{next_shard} to {}", shards - 1));
    }
    // An invalid range has its own finding and may cover the missing shards, so gaps are reported
    // only if all ranges are valid.
    if all_valid && !gaps.is_empty() {
        let problem = format!("no range has shards {}", gaps.join(", "));
        report.add(place, &problem, "every shard in one range");
    }
}
