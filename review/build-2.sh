#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 and after, the project's own among them, into target/review-2.
# Run it after the deploy file's build; it needs no other package and no network.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j "${CWL_JOBS:-8}"
