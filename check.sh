#!/usr/bin/env bash
# Checks format and lint. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t files < <(git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h')
clang-format --dry-run -Werror "${files[@]}"
mapfile -t units < <(git ls-files 'src/*.cpp' 'tests/*.cpp')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "format and lint are clean"
