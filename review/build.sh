#!/usr/bin/env bash
# Builds the stand-ins of the cases, from the standard library only, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/harness review/platform/main.rs
