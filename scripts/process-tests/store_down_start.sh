#!/usr/bin/env bash
# Guards against a daemon that is started while the store is down and does not
# serve, or serves with an outdated configuration.
# shellcheck source=scripts/process-tests/setup.sh
. "$(dirname "$0")/setup.sh"

readonly read_one='[{"op":"get","table":"t","key":"k"}]'

in_force_everywhere() {
  local id
  while read -r id _; do
    fleet_daemon_status "$id" |
      jq -e ".configuration_version >= $1" >/dev/null || return 1
  done <"$work/daemons"
}

start_fleet
fleet_wait "$limit" "version 1 is in force" in_force_everywhere 1
# The second version no longer has the key of the first workspace.
sed '/^\[key.key-1\]/,/^$/d' "$work/workspaces.toml" >"$work/replaced.toml"
fleet_apply "$work/services.toml" "$work/replaced.toml" "$work/domains.toml"
fleet_wait "$limit" "version 2 is in force" in_force_everywhere 2
fleet_fault platform '{"down":true}'
# A new daemon gets its peers from its settings only, because the host list is
# unavailable too.
hosts=
while read -r id domain; do
  hosts+="${hosts:+, }{ id = \"$id\", domain = \"$domain\", address = "
  hosts+="\"$(fleet_address "$id" peers_port)\" }"
done <"$work/daemons"
sed -e 's/^id = .*/id = "east-3"/' \
  -e 's/^\(clients\|operators\|peers\) = .*/\1 = "127.0.0.1:0"/' \
  -e "s/^hosts = .*/hosts = [$hosts]/" "$work/east-1.toml" >"$work/east-3.toml"
fleet_restart_daemon east-3
say "started east-3 while the store is down"
# It must reject the withdrawn key from its first response on.
served=0
refused=0
end=$((SECONDS + limit))
while [ "$served" -eq 0 ] || [ "$refused" -lt 10 ]; do
  [ "$SECONDS" -lt "$end" ] || fail "east-3 serves no request"
  replaced=$(curl -s -m 10 -H "Authorization: Bearer $(key_of ws-1)" \
    -d "{\"route\":\"ledger\",\"operations\":$read_one}" \
    "http://$(fleet_address east-3 clients_port)/v1/statement" || true)
  case $replaced in
    *'"done"'*) fail "east-3 served with a replaced configuration" ;;
    *unknown_key*) refused=$((refused + 1)) ;;
  esac
  if send_statement east-3 "$(key_of ws-2)" "$read_one" \
    >"$work/answer" 2>&1; then
    served=$((served + 1))
  fi
  sleep 0.05
done
fleet_daemon_status east-3 | jq -e '.configuration_version == 2' >/dev/null ||
  fail "east-3 does not hold version 2"
say "east-3 serves with version 2 and refuses the key that was removed"
printf 'ok %s\n' "$name"
