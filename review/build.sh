#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand/Cargo.toml --target-dir target/review
