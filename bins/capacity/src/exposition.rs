//! Parser for the OpenMetrics text of an entry instance.

use std::collections::BTreeMap;

/// Returns the sums of the samples of a metric, grouped by the value of a label. Samples without the label are
/// grouped under the empty string.
pub fn by_label(text: &str, metric: &str, label: &str) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    for (labels, value) in text.lines().filter_map(|line| sample(line, metric)) {
        *sums.entry(label_value(labels, label).to_owned()).or_insert(0.0) += value;
    }
    sums
}

/// Returns the sum of all samples of a metric.
pub fn sum(text: &str, metric: &str) -> f64 {
    text.lines().filter_map(|line| sample(line, metric)).map(|(_, value)| value).sum()
}

/// Parses the labels and the value of a line if it is a sample of the metric.
fn sample<'a>(line: &'a str, metric: &str) -> Option<(&'a str, f64)> {
    let rest = line.strip_prefix(metric)?;
    let (labels, value) = match rest.strip_prefix('{') {
        Some(rest) => rest.rsplit_once("} ")?,
        None => ("", rest.strip_prefix(' ')?),
    };
    Some((labels, value.split(' ').next()?.parse().ok()?))
}

/// Returns the value of a label, or the empty string. The label values of the control plane contain neither `,`
/// nor `"`, so they need no unescaping.
fn label_value<'a>(labels: &'a str, label: &str) -> &'a str {
    let pairs = labels.split(',').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(name, _)| *name == label);
    found.map_or("", |(_, value)| value.trim_matches('"'))
}
