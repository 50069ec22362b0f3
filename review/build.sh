#!/bin/bash
# Builds the stand-ins of the cases with the standard library alone, into target/review. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand-ins/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || "${RUSTC:-rustc}" --edition 2021 -O -o "target/review/$name" "$source"
done
