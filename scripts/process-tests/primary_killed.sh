#!/usr/bin/env bash
# Guards against a promotion that needs the platform's store or that loses or
# doubles acknowledged writes of a primary that was killed.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

start_fleet
start_load 8
wait_for_writes ledger-1 20
fleet_fault platform '{"down":true}'
fleet_signal KILL ledger-1
say "store down, primary killed"
fleet_wait "$limit" "another database is primary" \
  find_primary 1 ledger-2 ledger-3
say "$primary was promoted"
wait_for_writes "$primary" 20
check_load
printf 'ok %s\n' "$name"
