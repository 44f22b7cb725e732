#!/usr/bin/env bash
# Checks format and lint. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t files < <(git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'tests/*.cpp' 'tests/*.h')
clang-format --dry-run -Werror "${files[@]}"
# Asio of Debian 12 switches its coroutines on for GCC only; clang-tidy 14 reads them with these definitions.
coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1
    --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
mapfile -t units < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet "${coroutines[@]}" 2>/dev/null
echo "format and lint are clean"
