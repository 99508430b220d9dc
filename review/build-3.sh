#!/usr/bin/env bash
# Builds the programs of the scripts in review/11 to review/15 and of review/seen-3, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
common="review/standin-3/net.cpp review/standin-3/record.cpp review/standin-3/store.cpp
review/standin-3/group.cpp review/standin-3/fleet.cpp"
for case in lapsed_replica discarded_commits leaving_primary; do
    g++ -std=c++20 -O1 -pthread $common "review/standin-3/$case.cpp" -o "target/review-3/$case"
done
