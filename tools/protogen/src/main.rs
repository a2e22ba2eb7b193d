//! Generates the gRPC code of `caraway-wire` from its schema.
//!
//! Run `cargo run -p caraway-protogen` after changing `crates/wire/proto`. The optional argument is the
//! output directory, by default that of the committed code. The schema compiler is a library, so no
//! external `protoc` is needed.

#![forbid(unsafe_code)]

use std::error::Error;
use std::path::PathBuf;

const SCHEMA_ROOT: &str = "crates/wire/proto";
const SCHEMA: &str = "caraway/peer/v1/peer.proto";
const DEFAULT_OUTPUT: &str = "crates/wire/src/generated";

fn main() -> Result<(), Box<dyn Error>> {
    let output = std::env::args().nth(1).unwrap_or_else(|| DEFAULT_OUTPUT.to_owned());
    let descriptors = protox::compile([SCHEMA], [SCHEMA_ROOT])?;
    tonic_prost_build::configure().out_dir(PathBuf::from(output)).compile_fds(descriptors)?;
    Ok(())
}
