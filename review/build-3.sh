#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 14 into target/review-3. Needs the deployed program's
# packages only; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
# shellcheck disable=SC2046
g++ -std=c++20 -O1 -Wall -Wextra $(pkg-config --cflags jsoncpp) review/standins-3/cellreview.cpp \
    -o target/review-3/cellreview $(pkg-config --libs jsoncpp) -pthread
