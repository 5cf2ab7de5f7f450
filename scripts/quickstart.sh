#!/usr/bin/env bash
# Builds the programs and demonstrates them on loopback addresses: a
# configuration change, a write, a read of it at a replica, a failover, a
# withdrawn key.
#   scripts/quickstart.sh [--no-build]
# CAMPHORFERRY_BUILD is the build folder; --no-build uses it without building.
set -euo pipefail

usage() { printf 'usage: quickstart.sh [--no-build]\n' >&2; }

with_build=true
case ${1:-} in
  '') ;;
  --no-build) with_build=false ;;
  -h | --help)
    usage
    exit 0
    ;;
  *)
    usage
    exit 2
    ;;
esac
if [ $# -gt 1 ]; then
  usage
  exit 2
fi

# A relative build folder is relative to the caller's working directory.
build=${CAMPHORFERRY_BUILD:-}
if [ -n "$build" ]; then build=$(realpath -m "$build"); fi
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=${build:-$PWD/build}
work=$(mktemp -d)
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

current=start
started=$EPOCHREALTIME

cleanup() {
  local status=$?
  trap - EXIT
  fleet_stop
  rm -rf "$work"
  if [ "$status" -ne 0 ]; then
    printf 'quickstart: step failed: %s\n' "$current" >&2
  fi
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Kills a process and removes its id from the list, since the operating system
# may reuse the id: NAME.
kill_for_good() {
  local pid other left=()
  pid=$(cat "$work/$1.pid")
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  for other in "${fleet_pids[@]}"; do
    if [ "$other" != "$pid" ]; then left+=("$other"); fi
  done
  fleet_pids=("${left[@]}")
}

# Prints the start of a step: TEXT.
step() {
  current=$1
  awk -v now="$EPOCHREALTIME" -v start="$started" -v text="$1" \
    'BEGIN { printf "[%7.2f s] %s\n", now - start, text }'
}

# Exits with an error message: TEXT.
fail() {
  printf 'quickstart: %s\n' "$1" >&2
  exit 1
}

# Repeats a command until it succeeds: SECONDS COMMAND...
wait_for() {
  for _ in $(seq 1 "$(($1 * 10))"); do
    if "${@:2}"; then return 0; fi
    sleep 0.1
  done
  return 1
}

build_programs() {
  local launcher=()
  if command -v ccache >/dev/null; then
    launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
  fi
  cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    "${launcher[@]}" >/dev/null
  cmake --build "$build" --target camphorferryd camphorferryctl \
    camphorferry-timeline camphorferry-load standin-platform standin-database
}

check_programs() {
  local program
  for program in Daemon/camphorferryd Control/camphorferryctl \
    Timeline/camphorferry-timeline StandIns/standin-platform \
    StandIns/standin-database; do
    if [ ! -x "$build/Source/$program" ]; then
      fail "$build/Source/$program is missing; run without --no-build"
    fi
  done
}

operators=()
ctl() { "$build/Source/Control/camphorferryctl" "${operators[@]}" "$@"; }

# Sends a statement with the workspace's key: DAEMON BODY CURL-OPTIONS...
# Sets status, answer and, if the answer carries one, the session token.
# Passes the key in a file, so that it does not appear in process lists.
send() {
  local daemon=$1 body=$2
  shift 2
  local options=()
  if [ -n "$session" ]; then
    options=(-H "Camphorferry-Session: $session")
  fi
  status=$(curl -s -o "$work/answer" -D "$work/headers" -w '%{http_code}' \
    -m 30 -H "@$work/key.header" "${options[@]}" "$@" -d "$body" \
    "http://$(fleet_address "$daemon" clients_port)/v1/statement") || status=0
  answer=$(cat "$work/answer" 2>/dev/null || true)
  local token
  token=$(sed -n 's/^camphorferry-session: *\([^\r]*\)\r*$/\1/Ip' \
    "$work/headers" 2>/dev/null)
  if [ -n "$token" ]; then session=$token; fi
}

# Exits with an error unless the last statement was done.
require_done() {
  printf '    %s %s\n' "$status" "$answer"
  if [ "$status" != 200 ]; then fail "expected status 200"; fi
}

# Puts a value under a key, unless it is there already: DAEMON KEY VALUE.
# The idempotency key allows a safe retry after an unknown outcome.
put_once() {
  send "$1" "{\"route\":\"ledger\",\"operations\":[{\"op\":\"put\",
    \"table\":\"contributions\",\"key\":\"$2\",\"value\":$3}]}" \
    -H "Idempotency-Key: $(date +%s)-quickstart-$2"
}

get_record() {
  send "$1" "{\"route\":\"ledger\",\"operations\":[{\"op\":\"get\",
    \"table\":\"contributions\",\"key\":\"$2\"}]}"
}

# Exits with an error unless the first result of the last response is this
# value: VALUE.
require_value() {
  local found
  found=$(jq -c '.results[0]' <<<"$answer")
  if [ "$found" != "$1" ]; then fail "read $found, expected $1"; fi
}

believed_primary() {
  "$build/Source/Control/camphorferryctl" --operator \
    "$(fleet_address "$1" operators_port)" --json status |
    jq -r '.primaries.ledger | "\(.endpoint) \(.term)"'
}

# Succeeds if a daemon knows a primary of a higher term: DAEMON TERM.
has_newer_primary() {
  local endpoint term
  read -r endpoint term < <(believed_primary "$1")
  [ -n "$endpoint" ] && [ "${term:-0}" -gt "$2" ]
}

knows_primary() { has_newer_primary "$1" 0; }

holds_slot() {
  local held
  held=$("$build/Source/Control/camphorferryctl" --operator \
    "$(fleet_address "$1" operators_port)" --json status | jq .rate_slots)
  [ "$held" -gt 0 ]
}

read_at_replica() {
  get_record "$1" "$2"
  [ "$status" = 200 ] && [ "$(jq -r .served_by <<<"$answer")" = replica ]
}

refused_as_unknown_key() {
  get_record "$1" round-1
  [ "$status" = 401 ] && [ "$(jq -r .reason <<<"$answer")" = unknown_key ]
}

daemons=(ferry-1 ferry-2 ferry-3)
domains=(east west north)

if $with_build; then
  step "install missing packages"
  scripts/install-packages.sh
  step "build the programs"
  build_programs
fi
check_programs

step "start the platform's stand-in and a service of three databases"
# shellcheck disable=SC2119
fleet_start_platform
fleet_start_service ledger "${domains[@]}" --slots 4 --connections 32
step "start three daemons in three failure domains"
for i in 0 1 2; do
  fleet_start_daemon "${daemons[$i]}" "${domains[$i]}"
  operators+=(--operator "$(fleet_address "${daemons[$i]}" operators_port)")
done
fleet_publish_hosts

step "declare domains, service, workspace, route and key"
mkdir "$work/declarations"
for domain in "${domains[@]}"; do
  printf '[domain.%s]\nregion = "home"\nrate_slots = 1\n\n' "$domain"
done >"$work/declarations/domains.toml"
fleet_declare_services 4 32 >"$work/declarations/services.toml"
cat >"$work/declarations/workspaces.toml" <<'DECLARATIONS'
[workspace.circle]
rate = 300
burst = 300

[route.ledger]
service = "ledger"
workspaces = ["circle"]
DECLARATIONS
ctl --json keys issue --workspace circle --name office >"$work/issued.json"
jq -r .declaration "$work/issued.json" >"$work/declarations/keys.toml"
printf 'Authorization: Bearer %s\n' "$(jq -r .key "$work/issued.json")" \
  >"$work/key.header"
ctl validate "$work/declarations" | sed 's/^/    /'

step "read the plan"
ctl plan "$work/declarations" | sed 's/^/    /'
digest=$(ctl --json plan "$work/declarations" | jq -r .digest)
step "confirm the plan"
ctl apply --digest "$digest" "$work/declarations" | sed 's/^/    /'
step "wait until all daemons serve, know the primary and hold a rate slot"
for daemon in "${daemons[@]}"; do
  fleet_wait_serving "$daemon"
  wait_for 20 knows_primary "$daemon" || fail "$daemon knows no primary"
  wait_for 20 holds_slot "$daemon" || fail "$daemon holds no rate slot"
done
read -r primary term < <(believed_primary ferry-1)
printf '    primary %s, term %s\n' "$primary" "$term"

session=
step "write a record through ferry-1"
put_once ferry-1 round-1 '{"member":"amina","amount":50}'
require_done
step "read it from a replica through ferry-2 with the session token"
wait_for 10 read_at_replica ferry-2 round-1 ||
  fail "no replica served the read; last answer: $status $answer"
require_done
require_value '{"amount":50,"member":"amina"}'

step "write ten more records"
acknowledged=(round-1)
for i in $(seq 2 11); do
  put_once "${daemons[$((i % 3))]}" "round-$i" "$i"
  if [ "$status" != 200 ]; then fail "write $i: $status $answer"; fi
  acknowledged+=("round-$i")
done

step "kill the primary $primary"
killed=$EPOCHREALTIME
kill_for_good "$primary"
step "write the next record"
idempotency_key="$(date +%s)-quickstart-after"
body='{"route":"ledger","operations":[{"op":"put","table":"contributions",
  "key":"after","value":"written after the kill"}]}'
# After an unknown outcome, a client retries with the same idempotency key.
for _ in $(seq 1 20); do
  send ferry-2 "$body" -H "Idempotency-Key: $idempotency_key" \
    -H 'Camphorferry-Deadline-Ms: 10000'
  if [ "$status" = 200 ]; then break; fi
  printf '    %s %s\n' "$status" "$answer"
  sleep 0.2
done
require_done
acknowledged+=(after)
awk -v now="$EPOCHREALTIME" -v start="$killed" \
  'BEGIN { printf "    acknowledged %.2f s after the kill\n", now - start }'
old_term=$term
wait_for 10 has_newer_primary ferry-2 "$old_term" ||
  fail "no primary with a term above $old_term"
read -r primary term < <(believed_primary ferry-2)
printf '    primary %s, term %s\n' "$primary" "$term"

step "read all acknowledged records after the failover"
for key in "${acknowledged[@]}"; do
  get_record ferry-3 "$key"
  if [ "$status" != 200 ]; then fail "read of $key: $status $answer"; fi
  case $key in
    round-1) require_value '{"amount":50,"member":"amina"}' ;;
    after) require_value '"written after the kill"' ;;
    *) require_value "${key#round-}" ;;
  esac
done
printf '    %s of %s present\n' "${#acknowledged[@]}" "${#acknowledged[@]}"

step "withdraw the key"
ctl keys withdraw --name office | sed 's/^/    /'
digest=$(ctl --json keys withdraw --name office | jq -r .digest)
ctl keys withdraw --name office --digest "$digest" | sed 's/^/    /'
step "show that every daemon refuses the withdrawn key"
for daemon in "${daemons[@]}"; do
  wait_for 10 refused_as_unknown_key "$daemon" ||
    fail "$daemon still answers: $status $answer"
  printf '    %s: %s %s\n' "$daemon" "$status" "$answer"
done

step "show the end of the timeline"
"$build/Source/Timeline/camphorferry-timeline" "${operators[@]}" \
  >"$work/timeline"
tail -n 12 "$work/timeline" | sed 's/^/    /'
grep -q primary_known "$work/timeline" ||
  fail "the timeline contains no primary"

current="stop the processes"
fleet_stop
step "all processes are stopped"
printf 'quickstart: ok\n'
