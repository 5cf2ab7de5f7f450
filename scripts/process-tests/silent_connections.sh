#!/usr/bin/env bash
# Guards against requests that wait forever on connections that have become
# silent, and against wrong outcomes of the requests that time out on them.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

start_fleet
start_load 10
wait_for_writes ledger-1 20
for database in ledger-1 ledger-2 ledger-3; do
  fleet_fault "$database" '{"silence_open":true}'
  say "connections of $database are silent"
  find_any_primary() { find_primary 0 ledger-1 ledger-2 ledger-3; }
  fleet_wait "$limit" "a primary" find_any_primary
  wait_for_writes "$primary" 20
done
kill -0 "$load" 2>/dev/null || fail "the load ended before the faults did"
check_load
printf 'ok %s\n' "$name"
