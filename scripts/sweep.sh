#!/usr/bin/env bash
# Runs the property tests with random seeds for a number of seconds:
#   scripts/sweep.sh SECONDS
# Prints each seed and the shrunk case of each failure. Exits with 1 if a test
# failed.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:?usage: sweep.sh SECONDS}
build=${CAMPHORFERRY_BUILD:-build}
tests=(
  "$build/Source/UnitTests/Core/Process/process_tests"
  "$build/Source/UnitTests/Core/Request/request_tests"
  "$build/Source/UnitTests/Core/Version/version_tests"
  "$build/Source/UnitTests/Core/Connection/connection_tests"
  "$build/Source/UnitTests/StandIns/standins_tests"
)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
end=$((SECONDS + seconds))
failed=0
while [ "$SECONDS" -lt "$end" ]; do
  seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
  for test in "${tests[@]}"; do
    if RC_PARAMS="seed=$seed max_success=500" "$test" \
      --gtest_filter='*Any*:*ConcurrentOperators*:*Mixed*:*OtherBase*' >"$log" 2>&1; then
      printf 'sweep: seed=%s %s ok\n' "$seed" "$(basename "$test")"
      continue
    fi
    failed=1
    printf 'sweep: seed=%s %s FAILED\n' "$seed" "$(basename "$test")"
    grep -v '^\[ *\(OK\|RUN\)' "$log"
  done
done
exit "$failed"
