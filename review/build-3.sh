#!/usr/bin/env bash
# Builds the programs of the scripts in review/11, review/12 and review/seen-3, after the build line of
# deploy/system.toml. Needs no network and no packages beyond those of that file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
sources="net record store group fleet lapsed_replica discarded_commits leaving_primary"
jobs=""
for source in $sources; do
    g++ -std=c++20 -O1 -pthread -c "review/standin-3/$source.cpp" -o "target/review-3/$source.o" &
    jobs="$jobs $!"
done
for job in $jobs; do
    wait "$job"
done
cd target/review-3
for program in lapsed_replica discarded_commits leaving_primary; do
    g++ -pthread net.o record.o store.o group.o fleet.o "$program.o" -o "$program"
done
