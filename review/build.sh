#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B review/build -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_PROJECT_camphorferry_INCLUDE="$PWD/review/stand_ins/targets.cmake"
cmake --build review/build -j8 --target review-withdrawn_key review-lost_logs
