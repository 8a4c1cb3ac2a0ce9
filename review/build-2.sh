#!/usr/bin/env bash
# Builds the stand-ins and the cases 4 to 8: one program a case, of the standard library alone, into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -A dead_code -o "target/review-2/case-$number" "$source"
done
