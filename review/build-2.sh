#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program that needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/world review/standin-2/main.rs
