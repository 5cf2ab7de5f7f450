#!/usr/bin/env bash
# Guards against writes that are lost, doubled or falsely reported as not run
# when the daemon that owns the connections to the primary is killed.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

start_fleet
start_load 8
wait_for_writes ledger-1 20
owner=$(fleet_daemon_status main-1 | jq -r '.owners["ledger-1"]')
fleet_signal KILL "$owner"
say "killed $owner, the owner of the primary's connections"
survivor=main-1
[ "$owner" != main-1 ] || survivor=west-1
another_owner() {
  fleet_daemon_status "$survivor" |
    jq -e ".owners[\"ledger-1\"] != \"$owner\"" >/dev/null
}
fleet_wait "$limit" "another daemon owns the connections" another_owner
find_primary 0 ledger-1 ledger-2 ledger-3 || fail "no primary"
wait_for_writes "$primary" 20
say "writes continue at $primary"
check_load
printf 'ok %s\n' "$name"
