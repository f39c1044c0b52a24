#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the `build` command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stand-ins-3/Cargo.toml --target-dir target/review-3
