#!/usr/bin/env bash
# Builds the harness and the stand-ins that the scripts of the cases 6 to 10 start. All libraries are those of
# the entry instance, so that the build needs no network after that of the deploy file.
set -eu
cd "$(dirname "$0")/.."
build() {
    cargo build --release --locked --manifest-path review/harness-2/Cargo.toml \
        --target-dir target/review-2 "$@"
}
build --offline || build
