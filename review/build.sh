#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They have no dependencies, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
