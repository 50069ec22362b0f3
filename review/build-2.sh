#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the gateway: one program, from the standard library alone. The
# gateway itself is built by the deploy file's `build`.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
mkdir -p bin
"${RUSTC:-rustc}" --edition 2021 -O -o bin/play main.rs
