#!/usr/bin/env bash
# Installs the compilers, tools and libraries that the build needs, from Debian packages.
set -euo pipefail
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends cmake ninja-build g++ ccache mold clang-format clang-tidy pkg-config \
    libtbb-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc libyaml-cpp-dev libcpp-httplib-dev \
    libcxxopts-dev libfmt-dev libboost-dev libboost-test-dev librapidcheck-dev nlohmann-json3-dev libssl-dev libxxhash-dev curl
