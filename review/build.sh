#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into target/review. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j4
