#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into
# target/review-2/. Needs no network and no packages beyond those of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)" &
done
for job in $(jobs -p); do
    wait "$job"
done
