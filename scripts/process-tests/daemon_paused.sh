#!/usr/bin/env bash
# Guards against a daemon that resumes after a pause and completes a promotion
# in a term that was superseded during the pause.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

# Prints the first daemon in the list that has sent a promotion of the service.
promoter() {
  local id
  while read -r id _; do
    if fleet_events "$id" | grep -q '"promote_sent"'; then
      printf '%s' "$id"
      return 0
    fi
  done <"$work/daemons"
}

some_promoter() { [ -n "$(promoter)" ]; }

fleet_events() {
  curl -sf -m 2 "http://$(fleet_address "$1" operators_port)/operator/v1/events"
}

# Succeeds if the daemon has recorded a primary of this term: ID TERM.
knows_term() {
  fleet_daemon_status "$1" | jq -e ".primaries.ledger.term >= $2" >/dev/null
}

start_fleet
start_load 14
wait_for_writes ledger-1 20
# The daemon that performs the first promotion is the coordinator. It is paused
# when the next promotion begins, so that it resumes in the middle of it.
fleet_fault ledger-1 '{"isolated":true}'
fleet_wait "$limit" "a daemon has promoted a database" some_promoter
paused=$(promoter)
fleet_wait "$limit" "another database is primary" \
  find_primary 1 ledger-2 ledger-3
first=$primary
term=$(fleet_dump "$first" | jq .term)
fleet_fault ledger-1 '{"isolated":false}'
fleet_wait "$limit" "the first primary follows" is_replica ledger-1 "$term"
wait_for_writes ledger-1 10
fleet_signal STOP "$paused"
pause_end=$((SECONDS + 5))
fleet_signal KILL "$first"
say "paused $paused and killed $first"
case $first in
  ledger-2) other=ledger-3 ;;
  *) other=ledger-2 ;;
esac
fleet_wait "$limit" "a later primary" find_primary "$term" ledger-1 "$other"
second=$primary
second_term=$(fleet_dump "$second" | jq .term)
say "$second is primary of term $second_term"
paused_long_enough() { [ "$SECONDS" -ge "$pause_end" ]; }
fleet_wait "$limit" "end of the pause" paused_long_enough
fleet_signal CONT "$paused"
fleet_wait "$limit" "the daemon learns the term" \
  knows_term "$paused" "$second_term"
wait_for_writes "$second" 10
say "resumed $paused, it knows term $second_term"
check_load
# Its requests in an old term must have been rejected: no database is a primary
# or a follower below the later term.
remaining=ledger-1
[ "$second" != ledger-1 ] || remaining=$other
fleet_wait "$limit" "$remaining follows" is_replica "$remaining" "$second_term"
fleet_wait "$limit" "the remaining databases hold the same" \
  same_content "$second" "$remaining"
[ "$(fleet_dump "$second" | jq .term)" = "$second_term" ] ||
  fail "the term changed after the daemon resumed"
# A promotion by the resumed daemon is valid only above the term that it found.
lower=$(fleet_events "$paused" | jq "[.events[] |
  select(.event == \"primary_known\") | .fields.term | tonumber] |
  [.[1:], .[:-1]] | transpose | map(select(.[0] < .[1])) | length")
[ "$lower" = 0 ] || fail "$paused went back to a lower term"
say "no request in an old term was accepted"
printf 'ok %s\n' "$name"
