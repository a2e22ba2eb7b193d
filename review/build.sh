#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts.
set -euo pipefail
cd "$(dirname "$0")"
exec cargo build --release --locked --manifest-path harness/Cargo.toml --target-dir ../target/review
