#!/bin/sh
# Builds the stand-ins and drivers of the second review's scripts: its own crate, which uses only
# libraries that the build of the deploy file has fetched, and the first review's crate without
# libraries, which plays case 7.
set -eu
cd "$(dirname "$0")/.."
manifest=review/stand-ins-2/Cargo.toml
cargo build --locked --offline --manifest-path "$manifest" --target-dir target/review-2 ||
    cargo build --locked --manifest-path "$manifest" --target-dir target/review-2
sh review/build.sh
