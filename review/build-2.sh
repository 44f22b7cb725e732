#!/bin/sh
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file. Run it from any folder.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/lib-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
