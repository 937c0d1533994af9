#!/bin/sh
# Builds the stand-ins of the cases. Needs no network and no library.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review" cargo build --release --offline --locked --manifest-path review/stand/Cargo.toml
