#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They use the standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path standins/Cargo.toml
