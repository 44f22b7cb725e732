#!/usr/bin/env bash
# Reads the output of a failed test run. Succeeds if every failed test and every failed test case is listed in
# KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")"
log=$1
if grep -qE '\*\*\*(Timeout|Exception|Not Run)|unknown location' "$log"; then
    echo "a test crashed, timed out or was not run: not a known failure"
    exit 1
fi
mapfile -t tests < <(grep -oE '[a-z_]+_test \.*\*\*\*Failed' "$log" | cut -d' ' -f1 | sort -u)
mapfile -t cases < <(grep -oE 'error: in "[^"]+"' "$log" | cut -d'"' -f2 | sort -u)
[ "${#tests[@]}" -gt 0 ] && [ "${#cases[@]}" -gt 0 ] || { echo "found no failed test case in the output of the run"; exit 1; }
for it in "${tests[@]}" "${cases[@]}"; do
    grep -v '^#' KNOWN-RED.txt | grep -qwF -- "$it" || { echo "$it is not listed in KNOWN-RED.txt"; exit 1; }
done
echo "only known failures, see KNOWN-RED.txt:" "${cases[@]}"
