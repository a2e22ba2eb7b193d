//! Capacity reports, as Markdown and JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::fit;
use crate::fit::Line;
use crate::parse::Cost;
use crate::series::Factor;
use crate::trial::Row;

/// Measures in the tables, in display order.
const TABLE_MEASURES: [&str; 9] = [
    "cpu ms/s",
    "rss KiB",
    "messages/s",
    "bytes/s",
    "messages heartbeat/s",
    "bytes of a heartbeat",
    "messages grant/s",
    "bytes grant/s",
    "store/s",
];

/// Dependence of a measure on a factor.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Varied factor.
    pub factor: Factor,
    /// True if the windows were measured under load.
    pub load: bool,
    /// Role of the processes.
    pub role: &'static str,
    /// Name of the measure.
    pub measure: String,
    /// Regression line of the measure over the factor.
    pub line: Line,
}

/// Report of a capacity measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Length of a window in seconds.
    pub window_s: f64,
    /// Measured windows.
    pub rows: Vec<Row>,
    /// Regression lines of the measures.
    pub slopes: Vec<Slope>,
    /// Cost of reading documents.
    pub documents: Vec<Cost>,
}

/// Factor, load, role and measure of a regression line.
type SeriesKey<'a> = (Factor, bool, &'static str, &'a str);

/// Fits a line to every measure with at least three measured windows.
pub fn slopes(rows: &[Row]) -> Vec<Slope> {
    let mut points: BTreeMap<SeriesKey, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows {
        for (measure, value) in &row.measures {
            let key = (row.factor, row.load, row.role, measure.as_str());
            points.entry(key).or_default().push((row.value, *value));
        }
    }
    let lines = points.into_iter().filter(|(_, points)| points.len() >= 3);
    lines
        .filter_map(|((factor, load, role, measure), points)| {
            let line = fit::line(&points)?;
            Some(Slope { factor, load, role, measure: measure.to_owned(), line })
        })
        .collect()
}

impl Report {
    /// Returns the tables as Markdown.
    pub fn tables(&self) -> String {
        let mut out = String::new();
        // Writing to a `String` cannot fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        write!(out, "| factor | value | load | role | processes | load average |")?;
        TABLE_MEASURES.iter().try_for_each(|name| write!(out, " {name} |"))?;
        writeln!(out, "\n|{}", " --- |".repeat(6 + TABLE_MEASURES.len()))?;
        for row in &self.rows {
            let (before, after) = row.load_average;
            let load = if row.load { "yes" } else { "no" };
            write!(out, "| {} | {} | {load} | {} | ", row.factor.as_str(), row.value, row.role)?;
            write!(out, "{} | {before:.1} to {after:.1} |", row.processes)?;
            for name in TABLE_MEASURES {
                match row.measures.get(name) {
                    Some(value) => write!(out, " {value:.1} |")?,
                    None => write!(out, " |")?,
                }
            }
            writeln!(out)?;
        }
        writeln!(out, "\n| factor | load | role | measure | slope | at 0 | residual | points |")?;
        writeln!(out, "|{}", " --- |".repeat(8))?;
        let in_table = |slope: &&Slope| TABLE_MEASURES.contains(&slope.measure.as_str());
        for slope in self.slopes.iter().filter(in_table) {
            let Line { slope: line_slope, intercept, residual, points } = slope.line;
            let load = if slope.load { "yes" } else { "no" };
            write!(out, "| {} | {load} | {} | ", slope.factor.as_str(), slope.role)?;
            write!(out, "{} | {line_slope:.4} | {intercept:.2} | {residual:.2} | ", slope.measure)?;
            writeln!(out, "{points} |")?;
        }
        writeln!(out, "\n| targets in the document | bytes | read ms |")?;
        writeln!(out, "|{}", " --- |".repeat(3))?;
        for cost in &self.documents {
            let Cost { targets, bytes, read_ms } = cost;
            writeln!(out, "| {targets} | {bytes} | {read_ms:.2} |")?;
        }
        Ok(())
    }
}
