//! Regression lines and the slopes of a series.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use caraway_capacity::fit;
use caraway_capacity::report;
use caraway_capacity::series::Factor;
use caraway_capacity::trial;
use caraway_capacity::trial::Row;

fn approx_eq(found: f64, expected: f64) -> bool {
    (found - expected).abs() < 1e-9
}

/// Guards against wrong slopes, from which the documented capacity figures are computed.
#[yare::parameterized(
    exact = { &[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], 2.0, 3.0, 0.0 },
    flat = { &[(1.0, 4.0), (3.0, 4.0)], 0.0, 4.0, 0.0 },
    scattered = { &[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)], 0.0, 1.0, std::f64::consts::SQRT_2 },
)]
fn the_line_has_least_squares(points: &[(f64, f64)], slope: f64, intercept: f64, residual: f64) {
    let line = fit::line(points).unwrap();
    assert!(approx_eq(line.slope, slope), "{line:?}");
    assert!(approx_eq(line.intercept, intercept), "{line:?}");
    assert!(approx_eq(line.residual, residual), "{line:?}");
}

/// Guards against a division by zero that is reported as a slope.
#[yare::parameterized(
    none = { &[] },
    one = { &[(1.0, 1.0)] },
    same_factor_value = { &[(2.0, 1.0), (2.0, 3.0)] },
)]
fn no_line_without_two_factor_values(points: &[(f64, f64)]) {
    assert_eq!(fit::line(points), None);
}

fn row(value: f64, load: bool, role: &'static str, cpu: f64) -> Row {
    Row {
        factor: Factor::Targets,
        value,
        load,
        role,
        processes: 1,
        load_average: (0.0, 0.0),
        measures: BTreeMap::from([("cpu ms/s".to_owned(), cpu)]),
    }
}

/// Guards against slopes that mix windows of different roles, or windows with and without load.
#[test]
fn slopes_separate_roles_and_load() {
    let rows: Vec<Row> = [1.0, 2.0, 3.0]
        .iter()
        .flat_map(|x| {
            [
                row(*x, false, "coordinator", 2.0 * x),
                row(*x, true, "coordinator", 5.0 * x),
                row(*x, false, "target", 7.0),
            ]
        })
        .collect();
    let slopes = report::slopes(&rows);
    let found: Vec<(bool, &str, f64)> = slopes
        .iter()
        .map(|slope| (slope.load, slope.role, (slope.line.slope * 1e6).round() / 1e6))
        .collect();
    let expected =
        [(false, "coordinator", 2.0), (false, "target", 0.0), (true, "coordinator", 5.0)];
    assert_eq!(found, expected);
}

/// Guards against means that omit processes without the measure, such as a kind of message they did not send.
#[test]
fn a_process_without_a_measure_counts_as_zero() {
    let messages = BTreeMap::from([("messages record/s".to_owned(), 6.0)]);
    let means = trial::means(&[messages, BTreeMap::new(), BTreeMap::new()]);
    assert!(approx_eq(means["messages record/s"], 2.0));
}
