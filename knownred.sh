#!/usr/bin/env bash
# Reads the output of a failed test run: succeeds if each failed test, and each failed case in it, stands in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")"
log=$1
if grep -qE '\*\*\*(Timeout|Exception|Not Run)|unknown location' "$log"; then
    echo "a test crashed or took too long: not a known fault"
    exit 1
fi
mapfile -t tests < <(grep -oE '[a-z_]+_test \.*\*\*\*Failed' "$log" | cut -d' ' -f1 | sort -u)
mapfile -t cases < <(grep -oE 'error: in "[^"]+"' "$log" | cut -d'"' -f2 | sort -u)
[ "${#tests[@]}" -gt 0 ] && [ "${#cases[@]}" -gt 0 ] || { echo "no failed case found in the output"; exit 1; }
for it in "${tests[@]}" "${cases[@]}"; do
    grep -v '^#' KNOWN-RED.txt | grep -qwF -- "$it" || { echo "$it is not a known fault"; exit 1; }
done
echo "known faults failed, see KNOWN-RED.txt:" "${cases[@]}"
