#!/usr/bin/env bash
# Guards against a withdrawn key that is still accepted, on new or on already
# open connections, and against a withdrawal that affects other workspaces.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

senders=()
readonly write='[{"op":"add","table":"t","key":"k","amount":1}]'

# Sends requests on a persistent connection to a daemon until the file
# $work/stop exists: ID KEY OUTPUT. Writes one line per response with its code
# and the number of new connections, which is 0 if the connection was reused.
send_steadily() {
  local url
  url="http://$(fleet_address "$1" clients_port)/v1/statement"
  while [ ! -e "$work/stop" ]; do
    # Standard error is unbuffered, so each line is written immediately.
    curl -s -m 20 -o /dev/null -w '%{stderr}%{http_code} %{num_connects}\n' \
      -H "Authorization: Bearer $2" \
      -d "{\"route\":\"ledger\",\"operations\":$write}" --rate 20/s \
      "$url?n=[1-40]" 2>>"$work/$3" || true
  done
}

stop_own_processes() {
  local sender
  touch "$work/stop"
  for sender in "${senders[@]}"; do wait "$sender" || true; done
}

count() { grep -c "^$1 " "$work/$2" || true; }

# Succeeds if more than COUNT requests had this response code: FILE CODE COUNT.
more_than() { [ "$(count "$2" "$1")" -gt "$3" ]; }

start_fleet
operators=()
while read -r id _; do
  operators+=(--operator "$(fleet_address "$id" operators_port)")
  send_steadily "$id" "$(key_of ws-1)" "$id.withdrawn" &
  senders+=("$!")
  send_steadily "$id" "$(key_of ws-2)" "$id.other" &
  senders+=("$!")
done <"$work/daemons"
while read -r id _; do
  fleet_wait "$limit" "the key is served at $id" \
    more_than "$id.withdrawn" 200 3
done <"$work/daemons"

ctl="$build/Source/Control/camphorferryctl"
digest=$("$ctl" "${operators[@]}" --json keys withdraw --name key-1 |
  jq -r .digest)
withdrawn_everywhere() {
  "$ctl" "${operators[@]}" --json keys withdraw --name key-1 \
    --digest "$digest" >"$work/withdrawal" || return 1
  jq -e '(.in_force | length) == 4 and .not_yet == [] and .no_answer == []' \
    "$work/withdrawal" >/dev/null
}
fleet_wait "$limit" "the withdrawal is in force at all daemons" \
  withdrawn_everywhere
while read -r id _; do
  count 200 "$id.withdrawn" >"$work/$id.served"
done <"$work/daemons"
say "withdrawal reported in force at all daemons"

# New requests on new connections, and then the connected clients.
while read -r id _; do
  code=$(curl -s -m 10 -o /dev/null -w '%{http_code}' \
    -H "Authorization: Bearer $(key_of ws-1)" \
    -d "{\"route\":\"ledger\",\"operations\":$write}" \
    "http://$(fleet_address "$id" clients_port)/v1/statement")
  [ "$code" = 401 ] || fail "$id answered a withdrawn key with $code"
  served_other=$(count 200 "$id.other")
  refused=$(count 401 "$id.withdrawn")
  fleet_wait "$limit" "connected client is refused at $id" \
    more_than "$id.withdrawn" 401 "$refused"
  fleet_wait "$limit" "the other workspace is served at $id" \
    more_than "$id.other" 200 $((served_other + 10))
done <"$work/daemons"
stop_own_processes
while read -r id _; do
  # One request may have been in flight at the time of the report.
  late=$(($(count 200 "$id.withdrawn") - $(cat "$work/$id.served")))
  [ "$late" -le 1 ] || fail "$id served $late requests after the withdrawal"
  after_refusal=$(sed -n '/^401 /,$p' "$work/$id.withdrawn" |
    grep -c '^200 ' || true)
  [ "$after_refusal" -eq 0 ] ||
    fail "$id served $after_refusal requests after the first refusal"
  grep -q ' 0$' "$work/$id.withdrawn" || fail "no connection was kept"
  [ "$(count 401 "$id.other")" -eq 0 ] || fail "$id refused the other key"
done <"$work/daemons"
say "no request with the key was served afterwards"
printf 'ok %s\n' "$name"
