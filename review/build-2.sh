#!/usr/bin/env bash
# Builds the harness and the stand-ins that the scripts of the cases 6 to 10 start. Needs the libraries that
# the build of the deploy file has fetched, and no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml \
    --target-dir target/review-2
