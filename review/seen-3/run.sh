#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
program="$root/target/review-3/leaving_primary"
instance="$root/target/bin/camphortided"
[ -x "$program" ] && [ -x "$instance" ] || { echo "run the build line and review/build-3.sh first"; exit 2; }
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cd "$root"
"$program" "$folder/record.txt" "$instance" "$work"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
