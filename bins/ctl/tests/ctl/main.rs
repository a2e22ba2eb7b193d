//! Tests of the `caraway-ctl` binary against fakes of the store and the admin interface.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

mod admin;
mod declaration;
mod document;
mod explain_edge;
mod fake;
mod promotion;
mod request_log;

use std::process::Command;

use serde_json::Value;

/// Exit code and output of a run of the tool.
struct Run {
    code: i32,
    out: String,
    err: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

fn ctl(arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_caraway-ctl")).args(arguments).output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Returns the path of an environment document of the repository.
fn environment(name: &str) -> String {
    format!("{}/../../environments/{name}.json", env!("CARGO_MANIFEST_DIR"))
}

fn andina() -> Value {
    serde_json::from_str(&std::fs::read_to_string(environment("andina")).unwrap()).unwrap()
}

/// Writes a document to a separate file in the directory for test files and returns its path.
fn file(name: &str, document: &Value) -> String {
    let path = format!("{}/{}-{name}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, document.to_string()).unwrap();
    path
}

/// Returns an address that refuses connections.
fn closed_address() -> String {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}
