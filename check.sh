#!/usr/bin/env bash
# Checks formatting (clang-format) and lint (clang-tidy). Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t files < <(git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'tests/*.cpp' 'tests/*.h')
clang-format --dry-run -Werror "${files[@]}"
# Asio in Debian 12 enables coroutines for GCC only; these definitions enable them for clang-tidy 14.
coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1
    --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
mapfile -t units < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet "${coroutines[@]}" 2>/dev/null
echo "format and lint are clean"
