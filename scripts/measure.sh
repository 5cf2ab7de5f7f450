#!/usr/bin/env bash
# Measures a fleet of real processes under load and faults:
#   scripts/measure.sh --profile trust|directorate [--seconds N] [--faults LIST]
# Prints one line per figure: figure=NAME profile=P value=V unit=U n=N fault=F.
set -euo pipefail
cd "$(dirname "$0")/.."
profile=trust
seconds=10
faults="none primary_killed primary_isolated store_down daemon_killed
  daemon_paused rolling_restart silent_connections flood"
while [ $# -gt 0 ]; do
  case $1 in
    --profile) profile=$2 ;;
    --seconds) seconds=$2 ;;
    --faults) faults=$2 ;;
    *)
      printf 'usage: measure.sh --profile trust|directorate [--seconds N] [--faults "F..."]\n' >&2
      exit 2
      ;;
  esac
  shift 2
done
build=${CAMPHORFERRY_BUILD:-build}
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
work=$(mktemp -d)
cleanup() {
  fleet_stop
  rm -rf "$work"
}
trap cleanup EXIT

case $profile in
  trust)
    domains=(ub-east ub-west dk-main)
    regions=(ulaanbaatar ulaanbaatar darkhan)
    service=circle-ledger
    slots=2
    connections=16
    ;;
  directorate)
    domains=(muscat-seeb muscat-mutrah dhofar-salalah)
    regions=(muscat muscat dhofar)
    service=proclaim-ledger
    slots=5
    connections=55
    ;;
  *)
    printf 'measure.sh: unknown profile %s\n' "$profile" >&2
    exit 2
    ;;
esac

start_fleet() {
  fleet_start_platform
  local i
  for i in 1 2 3; do
    fleet_start_service "$service-$i" "${domains[@]}" --slots "$slots" \
      --connections "$connections" --connect-delay-ms 12
  done
  for i in 1 2 3; do fleet_start_daemon "${domains[0]}-$i" "${domains[0]}"; done
  for i in 1 2 3; do fleet_start_daemon "${domains[1]}-$i" "${domains[1]}"; done
  for i in 1 2; do fleet_start_daemon "${domains[2]}-$i" "${domains[2]}"; done
  fleet_publish_hosts
  fleet_declare_services "$slots" "$connections" >"$work/services.toml"
  fleet_declare_workspaces 8 200 400 "$service-1" "$service-2" "$service-3" \
    >"$work/workspaces.toml"
  : >"$work/domains.toml"
  local hosts=(3 3 2)
  for i in 0 1 2; do
    printf '[domain.%s]\nregion = "%s"\nrate_slots = %s\n\n' "${domains[$i]}" \
      "${regions[$i]}" "${hosts[$i]}" >>"$work/domains.toml"
  done
  fleet_apply "$work/services.toml" "$work/workspaces.toml" \
    "$work/domains.toml" >/dev/null
  local id
  while read -r id _; do fleet_wait_serving "$id"; done <"$work/daemons"
  # Daemons take their rate slots and fill their token buckets in this time.
  sleep 4
}

# Writes the load file: three large and five small workspaces. With a flood, the
# first workspace requests five times its rate.
write_load() {
  local flood_rate=$1 name key rate sessions list= clients= id
  while read -r name key; do
    case $name in
      ws-1) rate=$flood_rate sessions=$((flood_rate / 10 + 1)) ;;
      ws-2 | ws-3) rate=100 sessions=10 ;;
      *) rate=20 sessions=4 ;;
    esac
    list+="${list:+,}{\"name\":\"$name\",\"key\":\"$key\",\"rate\":$rate,"
    list+="\"limit_rate\":200,\"limit_burst\":400,"
    list+="\"sessions\":$sessions,\"routes\":[\"$service-1\",\"$service-2\","
    list+="\"$service-3\"]}"
  done <"$work/keys"
  while read -r id _; do
    clients+="${clients:+,}\"$(fleet_address "$id" clients_port)\""
  done <"$work/daemons"
  printf '{"clients":[%s],"workspaces":[%s]}' "$clients" "$list" \
    >"$work/load.json"
}

inject() {
  case $1 in
    none | flood) ;;
    primary_killed) fleet_signal KILL "$service-1-1" ;;
    primary_isolated) fleet_fault "$service-1-1" '{"isolated":true}' ;;
    store_down) fleet_fault platform '{"down":true}' ;;
    daemon_killed) fleet_signal KILL "${domains[0]}-2" ;;
    daemon_paused)
      fleet_signal STOP "${domains[1]}-1"
      sleep 3
      fleet_signal CONT "${domains[1]}-1"
      ;;
    silent_connections) fleet_fault "$service-1-2" '{"silence_open":true}' ;;
    rolling_restart)
      local i
      for i in 1 2; do
        fleet_signal TERM "${domains[0]}-$i"
        sleep 2
      done
      ;;
    *)
      printf 'measure.sh: unknown fault %s\n' "$1" >&2
      return 2
      ;;
  esac
}

# Prints the resident memory of each running daemon.
print_daemons() {
  local fault=$1 id pid rss
  while read -r id _; do
    pid=$(cat "$work/$id.pid")
    [ -r "/proc/$pid/status" ] || continue
    rss=$(awk '/VmRSS/{print $2 / 1024}' "/proc/$pid/status")
    printf 'figure=rss_mb.%s profile=%s value=%.1f unit=MB n=1 fault=%s\n' \
      "$id" "$profile" "$rss" "$fault"
  done <"$work/daemons"
}

for fault in $faults; do
  rm -f "$work"/*
  start_fleet
  flood_rate=100
  if [ "$fault" = flood ]; then flood_rate=1000; fi
  write_load "$flood_rate"
  "$build/Source/Load/camphorferry-load" --seconds "$seconds" \
    --profile "$profile" --fault "$fault" "$work/load.json" \
    >"$work/figures" 2>"$work/load.err" &
  load=$!
  fleet_pids+=("$load")
  sleep "$(awk "BEGIN{print $seconds / 3}")"
  inject "$fault"
  status=0
  wait "$load" || status=$?
  cat "$work/figures"
  if [ "$status" -ne 0 ]; then cat "$work/load.err" >&2; fi
  printf 'figure=load_exit_code profile=%s value=%s unit=code n=1 fault=%s\n' \
    "$profile" "$status" "$fault"
  print_daemons "$fault"
  fleet_stop
done
