//! Keys in several encodings.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use crate::common::Scene;

/// Guards against an explanation of another key than the one that requests with this encoding have.
#[test]
fn an_explained_key_is_decoded() {
    let scene = Scene::new();
    let entry = scene.coordinator();
    let page = |key: &str| {
        let path = format!("/explain/key/libro/{key}");
        scene.environment.admin_json(&entry, &path).unwrap()
    };
    let (plain, encoded) = (page("k1"), page("%6B%31"));
    assert_eq!((&plain["key"], &plain["shard"]), (&encoded["key"], &encoded["shard"]));
    assert_eq!(page("a%2Fb")["key"], "a/b");
    assert!(page("50%")["error"].is_string());
}
