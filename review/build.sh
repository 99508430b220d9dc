#!/usr/bin/env bash
# Builds the programs of the cases into target/review. Each holds the case and
# its stand-ins: callers, members, the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
jobs=()
for folder in review/[1-5]; do
    [ -f "$folder/case.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$folder/case.cpp" \
        -o "target/review/case$(basename "$folder")" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
