//! Percent-encoded keys.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use crate::common::Harness;

/// Guards against an explanation of a percent-encoded key that differs from the key that the data path
/// decodes.
#[test]
fn an_explained_key_is_percent_decoded() {
    let harness = Harness::new();
    let entry = harness.coordinator();
    let explain = |key: &str| {
        let path = format!("/explain/key/libro/{key}");
        harness.environment.admin_json(&entry, &path).unwrap()
    };
    let (plain, encoded) = (explain("k1"), explain("%6B%31"));
    assert_eq!((&plain["key"], &plain["shard"]), (&encoded["key"], &encoded["shard"]));
    assert_eq!(explain("a%2Fb")["key"], "a/b");
    assert!(explain("50%")["error"].is_string());
}
