#!/usr/bin/env bash
# Guards against a daemon that exits, stops serving other clients or uses
# unbounded memory when it receives malformed, oversized, unauthorized or
# never-ending requests.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

# A write to a connection that the daemon has closed must not end this script.
trap '' PIPE

readonly target=east-1
# The largest accepted request is 1 MB. A daemon that buffers one of the 64 MB
# bodies exceeds this growth.
readonly max_growth_kb=$((48 * 1024))
readonly held_connections=40

# Prints seeded random bytes: COUNT.
random_bytes() {
  local i text=
  for ((i = 0; i < $1; i++)); do
    printf -v text '%s\\x%02x' "$text" $((RANDOM % 256))
  done
  printf '%b' "$text"
}

# Sends standard input to a listener and discards the response: LISTENER.
send_raw() {
  local connection
  exec {connection}<>"/dev/tcp/127.0.0.1/$(fleet_value "$target" "$1")"
  # The daemon may close the connection at any point.
  cat 1>&"$connection" 2>/dev/null || true
  exec {connection}>&-
}

memory_kb() {
  awk -v field="$1:" '$1 == field { print $2 }' \
    "/proc/$(cat "$work/$target.pid")/status"
}

# Succeeds while the daemon serves a client with a valid key.
serves() {
  send_statement "$target" "$(key_of ws-1)" \
    '[{"op":"get","table":"t","key":"k"}]' >/dev/null 2>&1
}

# Prints the response code for a body of 64 MB: LISTENER PATH CURL_OPTIONS...
send_oversized() {
  local listener=$1 path=$2
  shift 2
  head -c 64M /dev/zero |
    curl -s -m 20 -o /dev/null -w '%{http_code}' -H "Expect:" "$@" \
      --data-binary @- "http://$(fleet_address "$target" "$listener")$path" ||
    true
}

start_fleet
start_load 12
wait_for_writes ledger-1 20
before=$(memory_kb VmRSS)
held=()
for listener in clients_port operators_port peers_port; do
  for size in 1 100 4000; do
    for _ in 1 2 3; do
      random_bytes "$size" >"$work/bytes"
      send_raw "$listener" <"$work/bytes"
    done
  done
  # A valid HTTP/2 connection preface, since the peers' listener uses HTTP/2,
  # followed by random bytes.
  {
    printf 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
    cat "$work/bytes"
  } >"$work/http2"
  send_raw "$listener" <"$work/http2"
  printf 'POST /v1/statement HTTP/1.1\r\nContent-Length: %s\r\n\r\n{' \
    99999999999999999999 >"$work/length"
  send_raw "$listener" <"$work/length"
  printf 'POST /v1/statement HTTP/1.1\r\nContent-Length: -1\r\n\r\n{' \
    >"$work/length"
  send_raw "$listener" <"$work/length"
  serves || fail "no service after random bytes to $listener"

  # Incomplete requests on connections that stay open.
  for ((i = 0; i < held_connections; i++)); do
    exec {connection}<>"/dev/tcp/127.0.0.1/$(fleet_value "$target" "$listener")"
    printf 'POST /v1/statement HTTP/1.1\r\nContent-Length: 100\r\n' \
      1>&"$connection" 2>/dev/null || true
    held+=("$connection")
  done
  serves || fail "no service after half-sent requests to $listener"

  for path in /v1/statement /operator/v1/apply; do
    code=$(send_oversized "$listener" "$path")
    say "$listener$path answered an oversized body with $code"
    case $code in
      2*) fail "$listener accepted an oversized body" ;;
    esac
    code=$(send_oversized "$listener" "$path" -H 'Transfer-Encoding: chunked')
    case $code in
      2*) fail "$listener accepted an oversized body in chunks" ;;
    esac
  done
  serves || fail "no service after oversized bodies to $listener"
  say "$listener: random bytes, half-sent requests, oversized bodies"
done

# Slow senders: one more byte at a time on each connection, while other clients
# must still be served.
for byte in X - A : b; do
  for connection in "${held[@]}"; do
    printf '%s' "$byte" 1>&"$connection" 2>/dev/null || true
  done
  serves || fail "no service while slow senders send"
done
say "${#held[@]} slow senders"

url="http://$(fleet_address "$target" clients_port)/v1/statement"
body='{"route":"ledger","operations":[{"op":"get","table":"t","key":"k"}]}'
codes=$(curl -s -m 20 -o /dev/null -w '%{http_code}\n' -d "$body" \
  -H 'Authorization: Bearer wrong-key' "$url?n=[1-200]" | sort | uniq -c |
  awk '{ print $1 "x" $2 }')
[ "$codes" = 200x401 ] || fail "wrong keys were answered with $codes"
for header in 'Authorization: Bearer ' 'Authorization: Basic eDp5' \
  'X-Other: 1' "Authorization: Bearer $(printf 'k%.0s' {1..8000})"; do
  code=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -d "$body" -H "$header" \
    "$url")
  [ "$code" = 401 ] || fail "a wrong key was answered with $code"
done
for document in '' '{' '[]' '{"route":1}' '{"route":"ledger","operations":{}}' \
  '{"route":"ledger","operations":[{"op":"none"}]}' \
  "$(printf '[%.0s' {1..20000})"; do
  code=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -d "$document" \
    -H "Authorization: Bearer $(key_of ws-1)" "$url")
  [ "$code" = 400 ] || fail "a malformed document was answered with $code"
done
say "wrong keys and malformed documents refused"

serves || fail "no service at the end"
check_load
kill -0 "$(cat "$work/$target.pid")" || fail "the daemon has ended"
growth=$(($(memory_kb VmHWM) - before))
say "memory at most $growth kB above the start"
[ "$growth" -le "$max_growth_kb" ] || fail "memory grew by $growth kB"
for connection in "${held[@]}"; do exec {connection}>&-; done
printf 'ok %s\n' "$name"
