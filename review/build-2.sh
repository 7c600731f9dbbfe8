#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs only the Rust compiler of the project and
# its standard library, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/lib-2/main.rs
