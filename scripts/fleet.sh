#!/usr/bin/env bash
# Functions that start and stop a fleet of processes on loopback addresses.
# Source this file after setting `build` (the build folder) and `work` (an empty
# folder for settings and logs).

fleet_pids=()

# Kills all processes that these functions started.
fleet_stop() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  fleet_pids=()
}

# Waits until a process has printed its "ready" line: NAME.
fleet_wait_ready() {
  local name=$1 try
  for try in $(seq 1 600); do
    if grep -q '^ready ' "$work/$name.out" 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  printf 'fleet: %s did not become ready\n' "$name" >&2
  tail -5 "$work/$name.err" >&2
  return 1
}

# Starts a process in the background: NAME COMMAND...
fleet_start() {
  local name=$1
  shift
  # A line of an earlier process would look like that of the new one.
  rm -f "$work/$name.out"
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  fleet_pids+=("$!")
  printf '%s' "$!" >"$work/$name.pid"
  fleet_wait_ready "$name"
}

# Prints a value of a process's ready line: NAME KEY.
fleet_value() {
  sed -n "s/^ready .*\b$2=\([0-9]*\).*/\1/p" "$work/$1.out" | head -1
}

# Starts the stand-in of the platform: OPTIONS...
fleet_start_platform() {
  fleet_start platform "$build/Source/StandIns/standin-platform" \
    --listen 127.0.0.1:0 --control 127.0.0.1:0 "$@"
  platform=127.0.0.1:$(fleet_value platform port)
}

# Starts a database: ID OPTIONS...
fleet_start_database() {
  local id=$1
  shift
  fleet_start "$id" "$build/Source/StandIns/standin-database" \
    --listen 127.0.0.1:0 --control 127.0.0.1:0 --id "$id" "$@"
}

# Starts the three databases of a service: SERVICE DOMAIN1 DOMAIN2 DOMAIN3
# OPTIONS... The first becomes the primary.
fleet_start_service() {
  local service=$1 d1=$2 d2=$3 d3=$4
  shift 4
  fleet_start_database "$service-1" --primary "$@"
  local primary=127.0.0.1:$(fleet_value "$service-1" port)
  fleet_start_database "$service-2" --follow "$primary" "$@"
  fleet_start_database "$service-3" --follow "$primary" "$@"
  printf '%s %s %s %s\n' "$service" "$d1" "$d2" "$d3" >>"$work/services"
}

# Prints the declarations of the started services: SLOTS CONNECTIONS.
fleet_declare_services() {
  local slots=$1 connections=$2 service d1 d2 d3 i
  while read -r service d1 d2 d3; do
    printf '[service.%s]\nslots = %s\nconnections = %s\n' \
      "$service" "$slots" "$connections"
    i=1
    for domain in "$d1" "$d2" "$d3"; do
      printf '[[service.%s.endpoint]]\nid = "%s-%s"\n' "$service" "$service" "$i"
      printf 'address = "127.0.0.1:%s"\ndomain = "%s"\n\n' \
        "$(fleet_value "$service-$i" port)" "$domain"
      i=$((i + 1))
    done
  done <"$work/services"
}

# Starts a daemon: ID DOMAIN. The operating system assigns the ports.
fleet_start_daemon() {
  local id=$1 domain=$2
  cat >"$work/$id.toml" <<SETTINGS
[host]
id = "$id"
domain = "$domain"

[listen]
clients = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"

[store]
address = "$platform"

[peers]
hosts = []
tls = "off"

[session]
secrets = ["a secret for tests on one machine only"]

[log]
level = "info"

[shutdown]
notice_ms = 500
SETTINGS
  fleet_start "$id" "$build/Source/Daemon/camphorferryd" "$work/$id.toml"
  printf '%s %s\n' "$id" "$domain" >>"$work/daemons"
}

# Publishes all started daemons in the platform's host list.
fleet_publish_hosts() {
  local id domain list=
  while read -r id domain; do
    list+="${list:+,}{\"id\":\"$id\",\"domain\":\"$domain\",\"state\":\"live\","
    list+="\"address\":\"127.0.0.1:$(fleet_value "$id" peers_port)\"}"
  done <"$work/daemons"
  curl -sf -X POST -d "{\"hosts\":[$list]}" \
    "http://127.0.0.1:$(fleet_value platform control_port)/control/hosts" \
    >/dev/null
}

# Waits until a daemon is ready for clients: ID.
fleet_wait_serving() {
  local port try
  port=$(fleet_value "$1" clients_port)
  for try in $(seq 1 600); do
    if curl -sf -m 2 "http://127.0.0.1:$port/readyz" >/dev/null; then return 0; fi
    sleep 0.05
  done
  printf 'fleet: %s is not ready for clients\n' "$1" >&2
  return 1
}

# Prints declarations of workspaces, keys and routes: COUNT RATE BURST
# SERVICES... Writes the keys to $work/keys, one "workspace key" per line.
fleet_declare_workspaces() {
  local count=$1 rate=$2 burst=$3 i key digest names=
  shift 3
  : >"$work/keys"
  for i in $(seq 1 "$count"); do
    key="key-of-workspace-$i-$RANDOM$RANDOM"
    digest=$(printf '%s' "$key" | sha256sum | cut -d' ' -f1)
    printf 'ws-%s %s\n' "$i" "$key" >>"$work/keys"
    printf '[workspace.ws-%s]\nrate = %s\nburst = %s\nweight = 1\n' \
      "$i" "$rate" "$burst"
    printf '[key.key-%s]\nworkspace = "ws-%s"\ndigest = "%s"\n\n' \
      "$i" "$i" "$digest"
    names+="${names:+, }\"ws-$i\""
  done
  local service
  for service in "$@"; do
    printf '[route.%s]\nservice = "%s"\nopen = false\nworkspaces = [%s]\n\n' \
      "$service" "$service" "$names"
  done
}

# Prints the address of a daemon's listener:
# ID clients_port|operators_port|peers_port.
fleet_address() {
  printf '127.0.0.1:%s' "$(fleet_value "$1" "$2")"
}

# Plans and applies the declaration files: FILES...
fleet_apply() {
  local operator digest
  operator=$(fleet_address "$(head -1 "$work/daemons" | cut -d' ' -f1)" \
    operators_port)
  digest=$("$build/Source/Control/camphorferryctl" --operator "$operator" \
    --json plan "$@" | jq -r .digest)
  "$build/Source/Control/camphorferryctl" --operator "$operator" \
    apply --digest "$digest" "$@"
}

# Injects faults into a stand-in process: NAME JSON.
fleet_fault() {
  curl -sf -X POST -d "$2" \
    "http://127.0.0.1:$(fleet_value "$1" control_port)/control/faults" \
    >/dev/null
}

# Sends a signal to a process: SIGNAL NAME.
fleet_signal() {
  kill "-$1" "$(cat "$work/$2.pid")"
}

# Waits until a command succeeds: SECONDS WHAT COMMAND...
fleet_wait() {
  local timeout=$1 what=$2 end=$((SECONDS + $1))
  shift 2
  until "$@"; do
    if [ "$SECONDS" -ge "$end" ]; then
      printf 'fleet: not within %s s: %s\n' "$timeout" "$what" >&2
      return 1
    fi
    sleep 0.05
  done
}

# Writes the assigned ports of a daemon into its settings, so that it uses the
# same ports after a restart: ID.
fleet_keep_ports() {
  local listener
  for listener in clients operators peers; do
    sed -i "s/^$listener = .*/$listener = \"$(fleet_address "$1" \
      "${listener}_port")\"/" "$work/$1.toml"
  done
}

# Starts a daemon with its existing settings: ID.
fleet_restart_daemon() {
  fleet_start "$1" "$build/Source/Daemon/camphorferryd" "$work/$1.toml"
}

# Prints the state and the contents of a database: NAME. The control listener
# does not count against the connection limit.
fleet_dump() {
  curl -sf -m 2 \
    "http://127.0.0.1:$(fleet_value "$1" control_port)/control/dump"
}

# Prints the status of a daemon: ID.
fleet_daemon_status() {
  curl -sf -m 2 "http://$(fleet_address "$1" operators_port)/operator/v1/status"
}
