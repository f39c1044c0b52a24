#!/bin/sh
# Builds the stand-ins and scenarios of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins-2 review/stand-ins-2/main.rs
