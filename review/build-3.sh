#!/usr/bin/env bash
# Builds the drivers and stand-ins of the cases of the third review. The program under test is built by the command of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
cargo build --release --locked --target-dir ../../target/review-3
