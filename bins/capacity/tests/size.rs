//! Generated documents and the parser of the metrics text.

#![allow(clippy::unwrap_used)]

use caraway_capacity::exposition;
use caraway_capacity::series::Factor;
use caraway_document::plan::Plan;

const TEXT: &str = "# TYPE caraway_store_calls counter\n\
    caraway_store_calls_total{kind=\"get\",result=\"ok\"} 8\n\
    caraway_store_calls_total{kind=\"get\",result=\"failed\"} 2\n\
    caraway_store_calls_total{kind=\"put\",result=\"ok\"} 3\n\
    caraway_store_calls_total_other{kind=\"get\"} 100\n\
    caraway_groups_held 4\n# EOF\n";

/// Guards against wrong sums of counters: metrics that share a name prefix must not count, and the results of
/// one kind must be summed.
#[test]
fn samples_are_summed_by_label() {
    let calls = exposition::by_label(TEXT, "caraway_store_calls_total", "kind");
    let found: Vec<(&str, f64)> = calls.iter().map(|(kind, sum)| (kind.as_str(), *sum)).collect();
    assert_eq!(found, [("get", 10.0), ("put", 3.0)]);
    assert!((exposition::sum(TEXT, "caraway_groups_held") - 4.0).abs() < f64::EPSILON);
    assert!(exposition::sum(TEXT, "caraway_takeovers_total").abs() < f64::EPSILON);
}

/// Guards against sizes with an invalid document, or with too many processes for a shared machine.
#[test]
fn every_size_is_valid_and_bounded() {
    for factor in Factor::ALL {
        let sizes = factor.sizes();
        assert!(sizes.len() >= 3, "{factor:?}");
        for (value, size) in sizes {
            let plan = Plan::try_new(&size.document().unwrap(), 1).unwrap();
            let targets: usize = plan.groups.iter().map(|group| group.targets.len()).sum();
            assert_eq!(targets, size.domains * size.services * size.targets, "{factor:?} {value}");
            assert!(size.processes() <= 300, "{factor:?} {value}");
        }
    }
}
