#!/bin/sh
# Builds the stand-ins of the review's scripts. They have no dependencies.
set -e
cd "$(dirname "$0")/stand-ins"
cargo build --release --offline --locked
