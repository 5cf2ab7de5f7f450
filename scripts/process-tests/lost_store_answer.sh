#!/usr/bin/env bash
# Guards against a plan that is applied twice or reported as failed when the
# store's response was lost, and against two concurrent operators that both
# succeed.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

# Runs the command line tool for operators: COMMAND...
ctl() {
  "$build/Source/Control/camphorferryctl" --operator \
    "$(fleet_address east-1 operators_port)" "$@"
}

# Prints the version of the configuration in the store.
stored_version() {
  curl -sf -m 2 "http://$platform/objects/config" | jq .value.version
}

# Succeeds if all daemons have at least this version: VERSION.
in_force_everywhere() {
  local id
  while read -r id _; do
    fleet_daemon_status "$id" |
      jq -e ".configuration_version >= $1" >/dev/null || return 1
  done <"$work/daemons"
}

# Writes the declarations with another rate: FILE RATE.
declare_rate() {
  cat "$work/services.toml" "$work/workspaces.toml" "$work/domains.toml" |
    sed "s/^rate = .*/rate = $2/" >"$work/$1"
}

digest_of() { ctl --json plan "$work/$1" | jq -r .digest; }

start_fleet
before=$(stored_version)
fleet_wait "$limit" "the version is known" in_force_everywhere "$before"

declare_rate lost.toml 410
digest=$(digest_of lost.toml)
fleet_fault platform '{"lose_answers":1}'
status=0
ctl apply --digest "$digest" "$work/lost.toml" || status=$?
say "apply with a lost answer ended with exit code $status"
case $status in
  0 | 4) ;;
  *) fail "a lost answer must be reported as success or unknown" ;;
esac
fleet_wait "$limit" "the repeated apply reports success" \
  ctl apply --digest "$digest" "$work/lost.toml"
after=$(stored_version)
[ "$after" -eq $((before + 1)) ] ||
  fail "the version went from $before to $after"
[ "$(curl -sf -m 2 "http://$platform/objects/config" |
  jq '[.value.workspaces[].rate] | unique == [410]')" = true ] ||
  fail "the store does not hold the applied rates"
fleet_wait "$limit" "version $after is in force" in_force_everywhere "$after"
say "the version rose from $before to $after"

declare_rate first.toml 420
declare_rate second.toml 430
first_digest=$(digest_of first.toml)
second_digest=$(digest_of second.toml)
ctl apply --digest "$first_digest" "$work/first.toml" \
  >"$work/first.result" 2>&1 &
first=$!
# The second operator uses another daemon.
"$build/Source/Control/camphorferryctl" --operator \
  "$(fleet_address main-1 operators_port)" apply --digest "$second_digest" \
  "$work/second.toml" >"$work/second.result" 2>&1 &
second=$!
fleet_pids+=("$first" "$second")
first_status=0
second_status=0
wait "$first" || first_status=$?
wait "$second" || second_status=$?
say "two operators: exit codes $first_status and $second_status"
case "$first_status $second_status" in
  "0 3" | "3 0") ;;
  *)
    cat "$work/first.result" "$work/second.result" >&2
    fail "exactly one operator must succeed"
    ;;
esac
raced=$(stored_version)
[ "$raced" -eq $((after + 1)) ] || fail "the version went from $after to $raced"
winner=420
[ "$first_status" -eq 0 ] || winner=430
[ "$(curl -sf -m 2 "http://$platform/objects/config" |
  jq "[.value.workspaces[].rate] | unique == [$winner]")" = true ] ||
  fail "the store does not hold the rates of the operator who succeeded"
printf 'ok %s\n' "$name"
