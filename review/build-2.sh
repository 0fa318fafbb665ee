#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs the Rust toolchain and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand-ins-2/main.rs
