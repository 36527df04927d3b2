#!/usr/bin/env bash
# Builds the stand-ins of the second review. The program itself is built by the `build` line of the deploy
# file; the cases start nothing else of the project's.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --offline --locked --target-dir target
