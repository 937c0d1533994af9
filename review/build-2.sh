#!/bin/sh
# Builds the stand-ins of the second review. They use the standard library only; the programs of the
# project that the scripts start are those that the deploy file's build makes.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-2" cargo build --release --offline --locked --manifest-path review/stand-2/Cargo.toml
