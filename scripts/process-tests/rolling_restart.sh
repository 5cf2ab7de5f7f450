#!/usr/bin/env bash
# Guards against requests that a graceful shutdown interrupts, and against
# daemons that do not exit cleanly or do not serve after a restart.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

# Succeeds when the process has ended: PID.
ended() { ! kill -0 "$1" 2>/dev/null; }

start_fleet east-1 west-1 main-1
start_load 28
wait_for_writes ledger-1 20
while read -r id _; do
  fleet_keep_ports "$id"
  pid=$(cat "$work/$id.pid")
  fleet_signal TERM "$id"
  fleet_wait "$limit" "$id exits" ended "$pid"
  status=0
  wait "$pid" || status=$?
  [ "$status" -eq 0 ] || fail "$id exited with code $status"
  fleet_restart_daemon "$id"
  fleet_wait_serving "$id"
  say "$id exited with code 0 and serves again"
done <"$work/daemons"
kill -0 "$load" 2>/dev/null || fail "the load ended before the restarts"
check_load
[ "$(figure cut_requests)" = 0 ] ||
  fail "$(figure cut_requests) requests were cut"
printf 'ok %s\n' "$name"
