#!/usr/bin/env bash
# Guards against acknowledgements by an isolated primary that is still running,
# and against one that keeps its own entries after it is reachable again.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

start_fleet
start_load 8
wait_for_writes ledger-1 20
fleet_fault ledger-1 '{"isolated":true}'
say "primary isolated"
fleet_wait "$limit" "another database is primary" \
  find_primary 1 ledger-2 ledger-3
say "$primary was promoted"
wait_for_writes "$primary" 20
fleet_fault ledger-1 '{"isolated":false}'
say "old primary reachable again"
check_load
term=$(fleet_dump "$primary" | jq .term)
fleet_wait "$limit" "the old primary follows" is_replica ledger-1 "$term"
fleet_wait "$limit" "all databases hold the same" \
  same_content "$primary" ledger-1 ledger-2 ledger-3
say "all databases hold the same"
printf 'ok %s\n' "$name"
