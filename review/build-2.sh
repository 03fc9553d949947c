#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
