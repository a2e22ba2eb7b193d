#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts. All libraries are those of the entry instance, so that
# the build needs no network after it.
set -euo pipefail
cd "$(dirname "$0")"
build() { cargo build --release --locked --manifest-path harness/Cargo.toml --target-dir ../target/review "$@"; }
build --offline || build
