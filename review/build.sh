#!/bin/sh
# Builds the stand-ins of the cases. They have no dependency, so no network is needed.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
