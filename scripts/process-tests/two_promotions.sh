#!/usr/bin/env bash
# Guards against acknowledged writes that are lost when a second promotion
# depends on a former primary that is reachable again.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

start_fleet
start_load 10
wait_for_writes ledger-1 20
fleet_fault ledger-1 '{"isolated":true}'
fleet_wait "$limit" "another database is primary" \
  find_primary 1 ledger-2 ledger-3
second=$primary
term=$(fleet_dump "$second" | jq .term)
say "first primary isolated, $second was promoted"
wait_for_writes "$second" 10
fleet_fault ledger-1 '{"isolated":false}'
fleet_wait "$limit" "the first primary follows" is_replica ledger-1 "$term"
wait_for_writes ledger-1 10
say "the first primary follows the second"
fleet_signal KILL "$second"
case $second in
  ledger-2) other=ledger-3 ;;
  *) other=ledger-2 ;;
esac
fleet_wait "$limit" "a third primary" find_primary "$term" ledger-1 "$other"
say "second primary killed, $primary was promoted"
wait_for_writes "$primary" 10
check_load
fleet_wait "$limit" "the remaining databases hold the same" \
  same_content ledger-1 "$other"
say "the remaining databases hold the same"
printf 'ok %s\n' "$name"
