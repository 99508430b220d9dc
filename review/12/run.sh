#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
set -uo pipefail
export TROUBLE="${TROUBLE:-1}"
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
program="$root/target/review-3/discarded_commits"
instance="$root/target/bin/camphortided"
[ -x "$program" ] && [ -x "$instance" ] || { echo "run the build line and review/build-3.sh first"; exit 2; }
work="$(mktemp -d)"
pid=""
# The instances end with the program.
finish() { [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null; rm -rf "$work"; }
trap finish EXIT
trap 'exit 2' INT TERM HUP
cd "$root"
"$program" "$folder/record.txt" "$instance" "$work" &
pid=$!
wait "$pid"
code=$?
pid=""
[ "$code" -le 1 ] && exit "$code"
exit 2
