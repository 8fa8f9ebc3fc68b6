#!/bin/sh
# Builds the stand-ins of the cases. Needs no network once the project is built.
set -eu
cd "$(dirname "$0")/kit"
CARGO_TARGET_DIR=../../target/review cargo build --release --locked --offline
