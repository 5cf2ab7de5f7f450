#!/usr/bin/env bash
# Smoke test of the stand-in processes: starts one platform and a group of three
# databases on free loopback ports, writes to them, fails over and compares
# them.
# Usage: check-standins.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
binaries="${1:-build}/Source/StandIns"
work=$(mktemp -d)
pids=()

end_processes() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap end_processes EXIT

fail() {
  printf 'check-standins.sh: %s\n' "$1" >&2
  cat "$work"/*.err >&2
  exit 1
}

# expect WHAT FOUND EXPECTED
expect() {
  [ "$2" = "$3" ] || fail "$1: found '$2', expected '$3'"
}

# Repeats the command until it succeeds, for at most 10 s.
eventually() {
  for _ in $(seq 200); do
    if "$@"; then return 0; fi
    sleep 0.05
  done
  return 1
}

# start NAME BINARY [OPTION...] sets port[NAME] and control[NAME].
declare -A port control pid_of
start() {
  local name=$1 binary=$2
  shift 2
  : >"$work/$name.out"
  "$binaries/$binary" --listen 127.0.0.1:0 --control 127.0.0.1:0 "$@" \
    >"$work/$name.out" 2>"$work/$name.err" &
  pid_of[$name]=$!
  pids+=("$!")
  eventually grep -q '^ready ' "$work/$name.out" || fail "$name did not start"
  port[$name]=$(sed -n 's/^ready port=\([0-9]*\) .*/\1/p' "$work/$name.out")
  control[$name]=$(sed -n 's/.*control_port=//p' "$work/$name.out")
}

# call NAME PATH [CURL_OPTION...]
call() {
  curl -s --max-time 5 "http://127.0.0.1:${port[$1]}$2" "${@:3}"
}

# ask FILTER NAME PATH [BODY] prints one field of a response.
ask() {
  if [ $# -gt 3 ]; then call "$2" "$3" -d "$4"; else call "$2" "$3"; fi |
    jq -c -r "$1"
}

inject() {
  curl -s --max-time 5 -o "$work/faults" -w '%{http_code}' -d "$2" \
    "http://127.0.0.1:${control[$1]}/control/faults"
}

dump() {
  curl -s --max-time 5 "http://127.0.0.1:${control[$1]}/control/dump" |
    jq -c -S '[.tables, .log_length, .position]'
}

# status_code NAME PATH [CURL_OPTION...] prints the HTTP status, or 000 without
# a response.
status_code() {
  call "$1" "$2" -o "$work/body" -w '%{http_code}' "${@:3}" || true
}

put() {
  printf '{"term":%s,"operations":[{"op":"put","table":"t","key":"%s","value":%s}]}' \
    "$1" "$2" "$3"
}

# Not idempotent by itself: without the idempotency key, the repeated statement
# would result in -10.
payout() {
  printf '{"term":%s,"operations":[{"op":"add","table":"t","key":"pot","amount":-5}],"idempotency":{"workspace":"w","key":"i","digest":"d"}}' \
    "$1"
}

start platform standin-platform
start a standin-database --id a --primary
start b standin-database --id b --follow "127.0.0.1:${port[a]}"
start c standin-database --id c --follow "127.0.0.1:${port[a]}" \
  --connections 2 --connect-delay-ms 12

# Objects: conditional updates, watches, lost responses and an outage.
config=/objects/config
expect 'absent object' "$(status_code platform $config)" 404
expect 'create' "$(call platform "$config?if_version=0" -X PUT -d '{"a":1}')" \
  '{"version":1}'
expect 'create again' \
  "$(status_code platform "$config?if_version=0" -X PUT -d '{"a":2}')" 409
expect 'watch without change' \
  "$(status_code platform "$config?watch_after=1&timeout_ms=20")" 304
call platform "$config?watch_after=1&timeout_ms=4000" >"$work/watch" &
watcher=$!
expect 'fault' "$(inject platform '{"lose_answers":1}')" 200
expect 'lost answer' \
  "$(status_code platform "$config?if_version=1" -X PUT -d '{"a":3}')" 000
wait "$watcher"
expect 'watch' "$(jq -c . "$work/watch")" '{"value":{"a":3},"version":2}'
expect 'bad object' \
  "$(status_code platform "$config?if_version=2" -X PUT -d '{')" 400
inject platform '{"down":true}' >"$work/code"
expect 'outage' "$(status_code platform $config)" 000
inject platform '{"down":false}' >"$work/code"
expect 'after the outage' "$(ask .version platform $config)" 2
hosts='{"hosts":[{"id":"h","address":"127.0.0.1:1","domain":"d","state":"live"}]}'
curl -s -o "$work/body" -d "$hosts" \
  "http://127.0.0.1:${control[platform]}/control/hosts"
expect 'hosts' "$(ask '.hosts[0].id' platform /hosts)" h

# A write in term 1 that a replica confirms and serves.
expect 'write' "$(ask .position a /v1/execute "$(put 1 k 7)")" '[1,2]'
expect 'payout' "$(ask .results a /v1/execute "$(payout 1)")" '[-5]'
expect 'write at a replica' "$(ask .reason b /v1/execute "$(put 1 k 8)")" \
  not_primary
expect 'confirmation' \
  "$(ask .held b /v1/confirm '{"position":[1,3],"wait_ms":4000}')" true
read_k='{"operations":[{"op":"get","table":"t","key":"k"}],"min_position":[1,3],"wait_ms":4000}'
expect 'read at a replica' "$(ask .results c /v1/execute "$read_k")" '[7]'
expect 'unknown field' \
  "$(status_code b /v1/fence -d '{"term":9,"proposer":"p","x":1}')" 400
expect 'not JSON' "$(status_code b /v1/fence -d '{')" 400
expect 'no effect of malformed requests' "$(ask .fence b /v1/status)" 1

# An isolated primary does not respond. The replicas do not get its last write,
# because the replication delay prevents them from applying pulled entries.
for replica in b c; do
  expect 'replication delay' \
    "$(inject $replica '{"replication_delay_ms":3600000}')" 200
done
expect 'lost write' "$(ask .position a /v1/execute "$(put 1 lost 1)")" '[1,4]'
expect 'isolation' "$(inject a '{"isolated":true}')" 200
expect 'isolated primary' "$(status_code a /v1/status --max-time 0.3)" 000

# Promotion of b in term 2; c follows it.
fence='{"term":2,"proposer":"p"}'
for replica in b c; do
  expect 'replication delay' \
    "$(inject $replica '{"replication_delay_ms":0}')" 200
  expect 'fence' "$(ask .granted $replica /v1/fence "$fence")" true
done
expect 'fence of another proposer' \
  "$(ask .granted b /v1/fence '{"term":2,"proposer":"q"}')" false
expect 'promotion' "$(ask .accepted b /v1/promote "$fence")" true
follow="{\"term\":2,\"proposer\":\"p\",\"primary\":\"127.0.0.1:${port[b]}\"}"
expect 'follow' "$(ask .accepted c /v1/follow "$follow")" true
expect 'replay' "$(ask '[.results, .replayed]' b /v1/execute "$(payout 2)")" \
  '[[-5],true]'
expect 'write at term 2' "$(ask .position b /v1/execute "$(put 2 k 9)")" '[2,5]'
expect 'confirmation at term 2' \
  "$(ask .held c /v1/confirm '{"position":[2,5],"wait_ms":4000}')" true

# The old primary is reachable again, rejects writes once it follows the new
# one, and discards the write that was never acknowledged.
inject a '{"isolated":false}' >"$work/code"
expect 'old primary follows' "$(ask .accepted a /v1/follow "$follow")" true
expect 'write at the old primary' \
  "$(ask .reason a /v1/execute "$(put 1 k 1)")" not_primary
all_equal() {
  [ "$(dump a)" = "$(dump b)" ] && [ "$(dump c)" = "$(dump b)" ]
}
eventually all_equal || fail 'replicas differ from the primary'
expect 'tables' "$(dump b)" '[{"t":{"k":9,"pot":-5}},5,[2,5]]'

# Connections above the limit, which is two at c, are rejected.
exec 8<>"/dev/tcp/127.0.0.1/${port[c]}" 9<>"/dev/tcp/127.0.0.1/${port[c]}"
for descriptor in 8 9; do
  printf 'GET /v1/status HTTP/1.1\r\nHost: c\r\n\r\n' >&$descriptor
  read -r -t 5 line <&$descriptor
  expect 'kept connection' "${line%$'\r'}" 'HTTP/1.1 200 OK'
done
expect 'surplus connection' "$(status_code c /v1/status)" 503
expect 'reason' "$(jq -r .reason "$work/body")" too_many_connections

# Open connections become silent while new ones work.
exec 9>&-
answers_again() { [ "$(status_code "$1" /v1/status)" = 200 ]; }
eventually answers_again c || fail 'no connection became free'
inject c '{"silence_open":true}' >"$work/code"
printf 'GET /v1/status HTTP/1.1\r\nHost: c\r\n\r\n' >&8
eventually answers_again c || fail 'new connections are silent too'
# Only the rest of the first response may arrive, but no second status line.
answers=$(timeout 0.3 cat <&8 | grep -c 'HTTP/1.1' || true)
expect 'silent connection' "$answers" 0
exec 8>&-

for name in platform a b c; do
  kill "${pid_of[$name]}"
  code=0
  wait "${pid_of[$name]}" || code=$?
  expect "exit code of $name" "$code" 0
done
printf 'check-standins.sh: ok\n'
