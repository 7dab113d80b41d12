#!/bin/sh
# Builds the stand-ins and drivers of the second review's scripts. They use only libraries that
# the build of the deploy file has fetched.
set -eu
cd "$(dirname "$0")/.."
cargo build --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
