#!/usr/bin/env bash
# Builds the drivers of the scripts, which contain their stand-ins, into target/review/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -Wall -Wextra $(pkg-config --cflags cpp-httplib)"
libs="$(pkg-config --libs cpp-httplib) -lfmt -lpthread"
# The project's own stand-in of a runner.
g++ $flags tests/standin/runner_main.cpp -o target/review/standin-runner $libs
for source in review/[1-5]/case.cpp; do
    n=$(basename "$(dirname "$source")")
    g++ $flags -Itests "$source" tests/processes.cpp -o "target/review/case-$n" $libs
done
