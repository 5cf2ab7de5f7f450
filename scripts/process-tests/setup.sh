#!/usr/bin/env bash
# Sourced by each process test: creates an empty work folder, kills all
# processes when the test ends, and has functions that start a small fleet and
# load.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
name=$(basename "$0" .sh)
build=$(realpath "${CAMPHORFERRY_BUILD:-$root/build}")
work=$(mktemp -d)
# shellcheck source=scripts/fleet.sh
. "$root/scripts/fleet.sh"
# Seeds the keys of the workspaces.
RANDOM=20261204

# Timeout in seconds for each awaited event, far above the usual time.
readonly limit=45

# A test that starts its own processes overrides this function to stop them.
stop_own_processes() { :; }

# Prints the state of each database that responds, without its contents.
print_databases() {
  local index
  for index in 1 2 3; do
    fleet_dump "ledger-$index" | jq -c 'del(.tables)' || true
  done
}

finish() {
  local status=$?
  trap - EXIT
  if [ "$status" -ne 0 ]; then
    printf 'failed %s, exit code %s\n' "$name" "$status" >&2
    grep -hE 'level=(WARN|ERROR|FATAL)' "$work"/*.err 2>/dev/null |
      tail -20 >&2 || true
    print_databases >&2
  fi
  stop_own_processes
  fleet_stop
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say() { printf '%s: %s\n' "$name" "$*"; }

fail() {
  say "$*" >&2
  exit 1
}

# Starts one service and daemons in three failure domains: NAMES... A daemon's
# name is that of its domain, a hyphen and a number; without names, four start.
start_fleet() {
  local daemon domain
  if [ $# -eq 0 ]; then set -- east-1 east-2 west-1 main-1; fi
  fleet_start_platform
  fleet_start_service ledger east west main --slots 4 --connections 32
  for daemon in "$@"; do fleet_start_daemon "$daemon" "${daemon%-*}"; done
  fleet_publish_hosts
  fleet_declare_services 4 32 >"$work/services.toml"
  fleet_declare_workspaces 2 400 800 ledger >"$work/workspaces.toml"
  cut -d' ' -f2 "$work/daemons" | sort -u | while read -r domain; do
    printf '[domain.%s]\nregion = "one"\nrate_slots = %s\n\n' "$domain" \
      "$(grep -c " $domain\$" "$work/daemons")"
  done >"$work/domains.toml"
  fleet_apply "$work/services.toml" "$work/workspaces.toml" \
    "$work/domains.toml"
  local id
  while read -r id _; do
    fleet_wait_serving "$id"
    fleet_wait "$limit" "$id knows the primary and holds its rate slot" \
      knows_primary "$id"
  done <"$work/daemons"
  say "started a fleet: $*"
}

knows_primary() {
  fleet_daemon_status "$1" | jq -e \
    '.primaries.ledger.term >= 1 and .rate_slots >= 1' >/dev/null
}

# Starts load on all daemons in the background: SECONDS.
start_load() {
  local workspace key id list="" clients=""
  while read -r workspace key; do
    list+="${list:+,}{\"name\":\"$workspace\",\"key\":\"$key\",\"rate\":40,"
    list+="\"limit_rate\":400,\"limit_burst\":800,"
    list+="\"sessions\":8,\"routes\":[\"ledger\"]}"
  done <"$work/keys"
  while read -r id _; do
    clients+="${clients:+,}\"$(fleet_address "$id" clients_port)\""
  done <"$work/daemons"
  printf '{"clients":[%s],"workspaces":[%s],"write_share":0.5}' "$clients" \
    "$list" >"$work/load.json"
  "$build/Source/Load/camphorferry-load" --seconds "$1" --seed 20261204 \
    --fault "$name" "$work/load.json" >"$work/figures" 2>"$work/load.err" &
  load=$!
  fleet_pids+=("$load")
  say "started load for $1 s"
}

# Sends a statement to a daemon and prints the response: ID KEY OPERATIONS.
# Fails unless it was done.
send_statement() {
  curl -s -m 10 -H "Authorization: Bearer $2" \
    -d "{\"route\":\"ledger\",\"operations\":$3}" \
    "http://$(fleet_address "$1" clients_port)/v1/statement" |
    jq -ce 'if .outcome == "done" then . else (., halt_error(1)) end'
}

# Prints the key of a workspace: NAME.
key_of() { sed -n "s/^$1 //p" "$work/keys"; }

# Prints a figure of the load that has ended: NAME.
figure() {
  sed -n "s/^figure=$1 .*\bvalue=\([^ ]*\) .*/\1/p" "$work/figures"
}

# Waits for the end of the load and checks that its accounts are consistent.
check_load() {
  local status=0
  wait "$load" || status=$?
  if [ "$status" -ne 0 ]; then
    cat "$work/figures" "$work/load.err" >&2
    fail "the load tool ended with exit code $status"
  fi
  [ "$(figure unreadable_accounts)" = 0 ] ||
    fail "accounts that could not be read: $(figure unreadable_accounts)"
  [ "$(figure served)" != 0 ] || fail "no request was served"
  say "ledger intact, $(figure served) requests served"
}

# Succeeds if a database's log has more than COUNT entries: NAME COUNT.
log_longer() {
  fleet_dump "$1" | jq -e ".position[1] > $2" >/dev/null
}

# Waits until a database has written COUNT further entries: NAME COUNT.
wait_for_writes() {
  local from
  from=$(fleet_dump "$1" | jq '.position[1]')
  fleet_wait "$limit" "$1 wrote $2 further entries" log_longer "$1" \
    $((from + $2))
}

# Sets `primary` to the database that is primary of a term above TERM: TERM
# NAMES...
find_primary() {
  local above=$1 database
  shift
  for database in "$@"; do
    if fleet_dump "$database" | jq -e \
      ".role == \"primary\" and .term > $above and .fence == .term" \
      >/dev/null; then
      primary=$database
      return 0
    fi
  done
  return 1
}

# Succeeds if a database is a replica in this term: NAME TERM.
is_replica() {
  fleet_dump "$1" | jq -e \
    ".role == \"replica\" and .fence == $2 and .applied[0] == $2" >/dev/null
}

# Succeeds if the databases hold the same log end and the same tables: NAMES...
same_content() {
  local first=$1 expected found database
  expected=$(fleet_dump "$first" | jq -S '{position, applied, tables}') ||
    return 1
  shift
  for database in "$@"; do
    found=$(fleet_dump "$database" | jq -S '{position, applied, tables}') ||
      return 1
    [ "$found" = "$expected" ] || return 1
  done
}
