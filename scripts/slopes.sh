#!/usr/bin/env bash
# Measures how the resource usage of a daemon grows with the size of the fleet,
# of the configuration and of its clients. Prints one line for each measured
# point and one for each slope, which is a least squares fit through its points.
# Usage: slopes.sh [GROUP...]; without a group all groups are measured.
# BUILD_FOLDER names the build folder (default: build under the repository's
# root), WINDOW_SECONDS the length of one sample (default: 8).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_FOLDER:-build}
window=${WINDOW_SECONDS:-8}
# Time until endpoint ownership, slot leases and gRPC connections are stable.
readonly settle_seconds=4
readonly ticks_per_second=$(getconf CLK_TCK)
base=$(mktemp -d)
work=$base
source scripts/fleet.sh

finish() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$base"
}
trap finish EXIT
trap 'exit 1' INT TERM

# Prints one point and records it for the slope: NAME SIZE VALUE UNIT.
point() {
  printf 'slope=%s size=%s value=%s unit=%s\n' "$1" "$2" "$3" "$4"
  printf '%s %s\n' "$2" "$3" >>"$base/points.$1"
  printf '%s' "$4" >"$base/unit.$1"
}

# Prints the least squares fit through the points of a slope: NAME PER.
slope() {
  awk -v name="$1" -v per="$2" -v unit="$(<"$base/unit.$1")" '
    { n++; x += $1; y += $2; xx += $1 * $1; xy += $1 * $2 }
    END {
      b = (n * xy - x * y) / (n * xx - x * x)
      printf "slope=%s per=%s intercept=%.6g slope=%.6g unit=%s\n",
        name, per, (y - b * x) / n, b, unit
    }' "$base/points.$1"
}

# Prepares a new fleet with its own folder and platform: NAME.
begin() {
  work=$base/$1
  mkdir "$work"
  : >"$work/services"
  : >"$work/daemons"
  fleet_start_platform
}

pid_of() { cat "$work/$1.pid"; }

operators_url() {
  printf 'http://127.0.0.1:%s/operator/v1' "$(fleet_value "$1" operators_port)"
}

daemon_names() { cut -d' ' -f1 "$work/daemons"; }

# Prints the declarations of the domains as JSON members. A domain has as many
# rate slots as daemons.
domains_json() {
  cut -d' ' -f2 "$work/daemons" | sort | uniq -c |
    awk '{ printf "%s\"%s\":{\"region\":\"r1\",\"rate_slots\":%d}",
           (NR > 1 ? "," : ""), $2, $1 }'
}

# Prints the declarations of the started services as JSON members.
services_json() {
  local service d1 d2 d3 i domain list= endpoints
  while read -r service d1 d2 d3; do
    endpoints=
    i=1
    for domain in "$d1" "$d2" "$d3"; do
      endpoints+="${endpoints:+,}{\"id\":\"$service-$i\",\"domain\":\"$domain\","
      endpoints+="\"address\":\"127.0.0.1:$(fleet_value "$service-$i" port)\"}"
      i=$((i + 1))
    done
    list+="${list:+,}\"$service\":{\"slots\":5,\"connections\":55,"
    list+="\"endpoints\":[$endpoints]}"
  done <"$work/services"
  printf '%s' "$list"
}

# Prints the declarations of COUNT services of DOMAIN without databases. Nothing
# listens on their addresses, which are loopback addresses.
idle_services_json() {
  awk -v count="$1" -v domain="$2" 'BEGIN {
    for (s = 0; s < count; s++) {
      printf "%s\"ledger-%05d\":{\"slots\":5,\"connections\":55,\"endpoints\":[",
        (s ? "," : ""), s
      for (e = 1; e <= 3; e++)
        printf "%s{\"id\":\"ledger-%05d-%d\",\"domain\":\"%s\"," \
          "\"address\":\"127.%d.%d.%d:9\"}",
          (e > 1 ? "," : ""), s, e, domain, 1 + e, int(s / 250), 1 + s % 250
      printf "]}"
    }
  }'
}

workspaces_json() {
  awk -v count="$1" 'BEGIN {
    for (w = 0; w < count; w++)
      printf "%s\"workspace-%05d\":{\"rate\":5000,\"burst\":10000,\"weight\":1}",
        (w ? "," : ""), w
  }'
}

keys_json() {
  awk -v count="$1" 'BEGIN {
    for (k = 0; k < count; k++)
      printf "%s\"key-%05d\":{\"workspace\":\"workspace-00000\"," \
        "\"digest\":\"%064x\"}", (k ? "," : ""), k, k + 1
  }'
}

# Prints COUNT routes to the first service for the first workspace.
routes_json() {
  awk -v count="$1" 'BEGIN {
    for (r = 0; r < count; r++)
      printf "%s\"route-%05d\":{\"service\":\"ledger-00000\",\"open\":false," \
        "\"workspaces\":[\"workspace-00000\"]}", (r ? "," : ""), r
  }'
}

# Plans and applies declarations: DAEMON WORKSPACES SERVICES ROUTES KEYS.
apply() {
  local address digest
  address=127.0.0.1:$(fleet_value "$1" operators_port)
  printf '{"workspaces":{%s},"services":{%s},"routes":{%s},"keys":{%s},' \
    "$2" "$3" "$4" "$5" >"$work/declarations"
  printf '"domains":{%s}}' "$(domains_json)" >>"$work/declarations"
  { printf '{"declarations":'; cat "$work/declarations"; printf '}'; } \
    >"$work/plan.request"
  digest=$(curl -sSf -X POST --data-binary @"$work/plan.request" \
    "http://$address/operator/v1/plan" | jq -r .digest)
  { printf '{"digest":"%s","declarations":' "$digest"
    cat "$work/declarations"
    printf '}'; } >"$work/apply.request"
  curl -sSf -X POST --data-binary @"$work/apply.request" \
    "http://$address/operator/v1/apply" >/dev/null
}

wait_all_serving() {
  local id
  for id in $(daemon_names); do fleet_wait_serving "$id"; done
}

# Resident memory in kB: NAME.
resident_kb() { awk '/^VmRSS:/ { print $2 }' "/proc/$(pid_of "$1")/status"; }

# Consumed processor time in ticks: NAME. Skips the command name, which may
# contain spaces, before it selects the fields.
cpu_ticks() {
  sed 's/.*) //' "/proc/$(pid_of "$1")/stat" | awk '{ print $12 + $13 }'
}

cpu_ticks_all() {
  local id total=0
  for id in $(daemon_names); do total=$((total + $(cpu_ticks "$id"))); done
  printf '%s' "$total"
}

resident_kb_mean() {
  local id
  for id in $(daemon_names); do resident_kb "$id"; done |
    awk '{ sum += $1 } END { printf "%.0f", sum / NR }'
}

# Prints "SOCKET KIND BYTES" of the daemons' open sockets to peers and
# databases. Bytes are TCP payload sent and received; a socket between two
# daemons counts once at each of them.
socket_bytes() {
  local id service rest i peers= databases= pids=
  for id in $(daemon_names); do
    peers+=" $(fleet_value "$id" peers_port)"
    pids+=" $(pid_of "$id")"
  done
  while read -r service rest; do
    for i in 1 2 3; do databases+=" $(fleet_value "$service-$i" port)"; done
  done <"$work/services"
  ss -tniOHp state established |
    awk -v peers="$peers" -v databases="$databases" -v pids="$pids" '
      BEGIN {
        n = split(peers, a, " "); for (i = 1; i <= n; i++) peer[a[i]] = 1
        n = split(databases, a, " "); for (i = 1; i <= n; i++) data[a[i]] = 1
        n = split(pids, a, " "); for (i = 1; i <= n; i++) own[a[i]] = 1
      }
      {
        if (!match($0, /pid=[0-9]+/)) next
        if (!(substr($0, RSTART + 4, RLENGTH - 4) in own)) next
        lport = $3; sub(/.*:/, "", lport)
        rport = $4; sub(/.*:/, "", rport)
        kind = ""
        if (lport in peer || rport in peer) kind = "peers"
        if (rport in data) kind = "databases"
        if (kind == "") next
        bytes = 0
        for (i = 5; i <= NF; i++)
          if ($i ~ /^bytes_(sent|received):/) {
            sub(/.*:/, "", $i); bytes += $i
          }
        print $3 "-" $4, kind, bytes
      }'
}

# Bytes per second of a kind between two outputs of socket_bytes: KIND. A socket
# that was opened in between counts from zero; one that was closed is ignored.
bytes_per_second() {
  awk -v kind="$1" -v seconds="$window" '
    NR == FNR { before[$1] = $3; next }
    $2 == kind { sum += $3 - before[$1] }
    END { printf "%.1f", sum / seconds }' \
    "$work/sockets.before" "$work/sockets.after"
}

store_calls() {
  curl -sf "http://127.0.0.1:$(fleet_value platform control_port)/control/calls"
}

# Calls per second of one kind between two samples: KIND BEFORE AFTER.
calls_per_second() {
  jq -n --argjson a "$2" --argjson b "$3" "(\$b.$1 - \$a.$1) / $window"
}

per() { awk -v value="$1" -v count="$2" 'BEGIN { printf "%.3f", value / count }'; }

ticks_to_ms_per_second() {
  awk -v ticks="$1" -v hz="$ticks_per_second" -v seconds="$window" -v n="$2" \
    'BEGIN { printf "%.3f", ticks * 1000 / hz / seconds / n }'
}

# Samples the whole fleet over the window: PREFIX SIZE.
sample_fleet() {
  local prefix=$1 size=$2 count ticks calls_before calls_after kind
  count=$(wc -l <"$work/daemons")
  socket_bytes >"$work/sockets.before"
  calls_before=$(store_calls)
  ticks=$(cpu_ticks_all)
  sleep "$window"
  ticks=$(($(cpu_ticks_all) - ticks))
  calls_after=$(store_calls)
  socket_bytes >"$work/sockets.after"
  point "${prefix}_memory" "$size" "$(resident_kb_mean)" kB
  point "${prefix}_cpu" "$size" \
    "$(ticks_to_ms_per_second "$ticks" "$count")" ms/s
  point "${prefix}_peer_bytes" "$size" \
    "$(per "$(bytes_per_second peers)" "$count")" B/s
  point "${prefix}_database_bytes" "$size" \
    "$(per "$(bytes_per_second databases)" "$count")" B/s
  for kind in lists reads watches writes; do
    point "${prefix}_store_$kind" "$size" \
      "$(calls_per_second "$kind" "$calls_before" "$calls_after")" calls/s
  done
}

slopes_of_fleet() {
  local name
  for name in memory cpu peer_bytes database_bytes store_lists store_reads \
    store_watches store_writes; do
    slope "$1_$name" "$2"
  done
}

# Starts daemons with the names PREFIX-1, PREFIX-2, ...: PREFIX COUNT DOMAIN.
start_daemons() {
  local i
  for i in $(seq 1 "$2"); do fleet_start_daemon "$1-$i" "$3"; done
}

# Publishes the host list and waits until all daemons have read it. A daemon
# that knows no other daemon takes all rate slots of its domain.
publish_hosts() {
  fleet_publish_hosts
  sleep 2
}

# Sends COUNT writes sequentially on one connection: PORT COUNT.
send_statements() {
  local fd line length body
  body='{"route":"ledger","repeatable":true,'
  body+='"operations":[{"op":"put","table":"t","key":"k","value":1}]}'
  exec {fd}<>"/dev/tcp/127.0.0.1/$1"
  for _ in $(seq 1 "$2"); do
    printf 'POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: %s\r\n\r\n%s' \
      "${#body}" "$body" >&"$fd"
    length=0
    while IFS= read -r -u "$fd" line && [ "$line" != $'\r' ]; do
      case $line in
        [Cc]ontent-[Ll]ength:*) length=${line#*: }; length=${length%$'\r'} ;;
      esac
    done
    read -r -N "$length" -u "$fd" line
  done
}

# Measures the total processor time of all daemons for acknowledged writes that
# clients send to one daemon: PREFIX DAEMONS.
statements_at() {
  local prefix=$1 size ticks sender senders i
  begin "$prefix"
  fleet_start_service ledger a a a
  start_daemons a "$2" a
  publish_hosts
  apply a-1 '"public":{"rate":100000,"burst":100000,"weight":1}' \
    "$(services_json)" '"ledger":{"service":"ledger","open":true,"workspaces":[]}' ''
  wait_all_serving
  sleep "$settle_seconds"
  for size in 400 800 1600; do
    ticks=$(cpu_ticks_all)
    senders=()
    for i in 1 2 3 4; do
      send_statements "$(fleet_value a-1 clients_port)" "$((size / 4))" &
      senders+=("$!")
      fleet_pids+=("$!")
    done
    for sender in "${senders[@]}"; do wait "$sender"; done
    ticks=$(($(cpu_ticks_all) - ticks))
    point "${prefix}_cpu" "$size" \
      "$(awk -v t="$ticks" -v hz="$ticks_per_second" 'BEGIN { print t * 1000 / hz }')" ms
  done
  printf 'note=%s counters=%s\n' "$prefix" "$(curl -sf \
    "$(operators_url a-1)/counters?format=json")"
  fleet_stop
  slope "${prefix}_cpu" statement
}

measure_statements() {
  statements_at statements_owned 1
  statements_at statements_shared 4
}

# Opens COUNT connections, sends one statement on each, and keeps them open
# until a line arrives on standard input: PORT COUNT.
hold_connections() {
  local port=$1 count=$2 i fd line length body fds=()
  body='{"route":"ledger","operations":[{"op":"get","table":"t","key":"k"}]}'
  for i in $(seq 1 "$count"); do
    exec {fd}<>"/dev/tcp/127.0.0.1/$port"
    fds+=("$fd")
    printf 'POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: %s\r\n\r\n%s' \
      "${#body}" "$body" >&"$fd"
    length=0
    while IFS= read -r -u "$fd" line && [ "$line" != $'\r' ]; do
      case $line in
        [Cc]ontent-[Ll]ength:*) length=${line#*: }; length=${length%$'\r'} ;;
      esac
    done
    read -r -N "$length" -u "$fd" line
  done
  printf 'open\n'
  read -r line || true
}

measure_connections() {
  local total=0 size port ticks open
  begin connections
  fleet_start_service ledger a a a
  start_daemons a 1 a
  publish_hosts
  apply a-1 '"public":{"rate":100000,"burst":100000,"weight":1}' \
    "$(services_json)" '"ledger":{"service":"ledger","open":true,"workspaces":[]}' ''
  wait_all_serving
  sleep "$settle_seconds"
  port=$(fleet_value a-1 clients_port)
  point client_connections_memory 0 "$(resident_kb a-1)" kB
  for size in 500 1000 2000; do
    mkfifo "$work/release.$size"
    hold_connections "$port" "$((size - total))" <>"$work/release.$size" \
      >"$work/holder.$size" &
    fleet_pids+=("$!")
    until grep -q open "$work/holder.$size"; do sleep 0.1; done
    total=$size
    sleep 1
    open=$(curl -sf "$(operators_url a-1)/counters?format=json")
    printf 'note=client_connections size=%s counters=%s\n' "$size" "$open"
    point client_connections_memory "$size" "$(resident_kb a-1)" kB
    ticks=$(cpu_ticks a-1)
    sleep "$window"
    ticks=$(($(cpu_ticks a-1) - ticks))
    point client_connections_cpu "$size" "$(ticks_to_ms_per_second "$ticks" 1)" ms/s
  done
  fleet_stop
  slope client_connections_memory idle_client_connection
  slope client_connections_cpu idle_client_connection
}

# Measures one service with different numbers of daemons. Up to nine daemons of
# a domain exchange heartbeats in pairs; more use a ring.
fleet_by_daemons() {
  local prefix=$1 size calls
  shift
  for size in "$@"; do
    begin "$prefix-$size"
    fleet_start_service ledger a a a
    start_daemons a "$size" a
    publish_hosts
    apply a-1 "$(workspaces_json 8)" "$(services_json)" '' ''
    wait_all_serving
    sleep "$settle_seconds"
    calls=$(store_calls)
    point "${prefix}_start_writes" "$size" "$(jq .writes <<<"$calls")" calls
    sample_fleet "$prefix" "$size"
    point "${prefix}_rate_object" "$size" \
      "$(curl -sf "http://$platform/objects/rates/a" | jq -c .value | wc -c)" B
    point "${prefix}_host_list" "$size" \
      "$(curl -sf -o /dev/null -w '%{size_request} %{size_header} %{size_download}' \
        "http://$platform/hosts" | awk '{ print $1 + $2 + $3 }')" B
    fleet_stop
  done
  slopes_of_fleet "$prefix" daemon
  slope "${prefix}_start_writes" daemon
  slope "${prefix}_rate_object" daemon
  slope "${prefix}_host_list" daemon
}

measure_daemons() { fleet_by_daemons daemons 2 4 8; }

measure_ring() { fleet_by_daemons ring 12 18 24; }

# Measures one daemon in each failure domain, which is the relay of all pairs of
# its domain.
measure_domains() {
  local size i
  for size in 2 4 8; do
    begin "domains-$size"
    fleet_start_service ledger d1 d1 d1
    for i in $(seq 1 "$size"); do fleet_start_daemon "d$i-1" "d$i"; done
    publish_hosts
    apply d1-1 "$(workspaces_json 8)" "$(services_json)" '' ''
    wait_all_serving
    sleep "$settle_seconds"
    sample_fleet domains "$size"
    fleet_stop
  done
  slopes_of_fleet domains failure_domain
}

# Measures one daemon that owns and monitors all services.
measure_services() {
  local size i
  for size in 1 3 6; do
    begin "services-$size"
    for i in $(seq 1 "$size"); do fleet_start_service "ledger-$i" a a a; done
    start_daemons a 1 a
    publish_hosts
    apply a-1 "$(workspaces_json 8)" "$(services_json)" '' ''
    wait_all_serving
    sleep "$settle_seconds"
    sample_fleet services "$size"
    fleet_stop
  done
  slopes_of_fleet services owned_service
}

# Samples a daemon that owns none of the declared services: HOSTS SERVICES
# PREFIX SIZE. It starts after the owners, because a daemon that knows no other
# daemon owns all endpoints for a moment and does not release that memory.
sample_declared() {
  local ticks
  begin "$3-$4"
  start_daemons b "$1" b
  publish_hosts
  apply b-1 "$(workspaces_json 8)" "$(idle_services_json "$2" b)" '' ''
  wait_all_serving
  start_daemons a 1 a
  publish_hosts
  wait_all_serving
  sleep "$settle_seconds"
  ticks=$(cpu_ticks a-1)
  sleep "$window"
  ticks=$(($(cpu_ticks a-1) - ticks))
  point "$3_memory" "$4" "$(resident_kb a-1)" kB
  point "$3_cpu" "$4" "$(ticks_to_ms_per_second "$ticks" 1)" ms/s
  fleet_stop
}

# These costs are small, so the window is longer: 15 s resolve 0.7 ms/s at 100
# clock ticks per second.
measure_declared() {
  local size window=15
  for size in 250 500 1000; do sample_declared 4 "$size" declared "$size"; done
  for size in 1 2 4; do sample_declared "$size" 1000 declared_hosts "$size"; done
  slope declared_memory declared_service
  slope declared_cpu declared_service
  slope declared_hosts_cpu daemon_of_the_services_domain
}

# Measures the size of the configuration document and the memory of the daemon:
# NAME SIZE WORKSPACES SERVICES ROUTES KEYS.
sample_document() {
  begin "document-$1-$2"
  start_daemons a 1 a
  publish_hosts
  apply a-1 "$3" "$4" "$5" "$6"
  wait_all_serving
  sleep 2
  point "document_$1" "$2" "$(curl -sf \
    "$(operators_url a-1)/configuration" |
    wc -c)" B
  point "document_$1_memory" "$2" "$(resident_kb a-1)" kB
  fleet_stop
}

measure_document() {
  local size name
  for size in 1000 2000 4000; do
    sample_document workspaces "$size" "$(workspaces_json "$size")" '' '' ''
  done
  for size in 1000 2000 4000; do
    sample_document keys "$size" "$(workspaces_json 1)" '' '' \
      "$(keys_json "$size")"
  done
  for size in 50 100 200; do
    sample_document services "$size" "$(workspaces_json 1)" \
      "$(idle_services_json "$size" a)" '' ''
  done
  for size in 1000 2000 4000; do
    sample_document routes "$size" "$(workspaces_json 1)" \
      "$(idle_services_json 1 a)" "$(routes_json "$size")" ''
  done
  for name in workspaces keys services routes; do
    slope "document_$name" "${name%s}"
    slope "document_${name}_memory" "${name%s}"
  done
}

# Measures, by the size of the document, the processor time and bytes of one
# configuration change at each of four daemons, and the processor time of the
# start of a daemon until it is ready. The changes alternate between two sets of
# keys.
measure_change() {
  local size i ticks bytes changes=10 address
  for size in 1000 2000 4000; do
    begin "change-$size"
    start_daemons a 4 a
    publish_hosts
    apply a-1 "$(workspaces_json 1)" '' '' "$(keys_json "$size")"
    wait_all_serving
    sleep "$settle_seconds"
    address=127.0.0.1:$(fleet_value a-1 operators_port)
    bytes=$(curl -sf "http://$address/operator/v1/configuration" | wc -c)
    ticks=$(cpu_ticks_all)
    socket_bytes >"$work/sockets.before"
    for i in $(seq 1 "$changes"); do
      apply a-1 "$(workspaces_json 1)" '' '' "$(keys_json "$((size - i % 2))")"
    done
    sleep 2
    ticks=$(($(cpu_ticks_all) - ticks))
    socket_bytes >"$work/sockets.after"
    fleet_start_daemon a-late a
    fleet_publish_hosts
    fleet_wait_serving a-late
    point start_cpu "$bytes" "$(awk -v t="$(cpu_ticks a-late)" \
      -v hz="$ticks_per_second" 'BEGIN { print t * 1000 / hz }')" ms/start
    point change_cpu "$bytes" "$(awk -v t="$ticks" -v n="$changes" \
      -v hz="$ticks_per_second" 'BEGIN { print t * 1000 / hz / n / 4 }')" ms/change
    point change_peer_bytes "$bytes" "$(awk -v b="$(bytes_per_second peers)" \
      -v w="$window" -v n="$changes" 'BEGIN { print b * w / n / 4 }')" B/change
    fleet_stop
  done
  slope change_cpu document_byte
  slope start_cpu document_byte
  slope change_peer_bytes document_byte
}

# Retries a write to a route until it is acknowledged, then prints the time:
# PORT ROUTE.
time_of_write() {
  local body
  body="{\"route\":\"$2\",\"repeatable\":true,"
  body+='"operations":[{"op":"put","table":"t","key":"k","value":1}]}'
  until [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -d "$body" \
    "http://127.0.0.1:$1/v1/statement")" = 200 ]; do
    sleep 0.01
  done
  printf '%s\n' "$EPOCHREALTIME"
}

# Measures the longest time from the kill of all primaries to an acknowledged
# write of each service, by the number of services.
measure_failover() {
  local size i port routes killed waiters waiter
  for size in 1 3 6; do
    begin "failover-$size"
    routes=
    for i in $(seq 1 "$size"); do
      fleet_start_service "ledger-$i" a a a
      routes+="${routes:+,}\"ledger-$i\":{\"service\":\"ledger-$i\","
      routes+='"open":true,"workspaces":[]}'
    done
    start_daemons a 4 a
    publish_hosts
    apply a-1 '"public":{"rate":100000,"burst":100000,"weight":1}' \
      "$(services_json)" "$routes" ''
    wait_all_serving
    sleep "$settle_seconds"
    port=$(fleet_value a-1 clients_port)
    for i in $(seq 1 "$size"); do
      time_of_write "$port" "ledger-$i" >/dev/null
    done
    killed=$EPOCHREALTIME
    for i in $(seq 1 "$size"); do kill -KILL "$(pid_of "ledger-$i-1")"; done
    waiters=()
    for i in $(seq 1 "$size"); do
      time_of_write "$port" "ledger-$i" >"$work/written.$i" &
      waiters+=("$!")
    done
    for waiter in "${waiters[@]}"; do wait "$waiter"; done
    point failover_gap "$size" "$(cat "$work"/written.* |
      awk -v killed="$killed" '{ gap = ($1 - killed) * 1000
        if (gap > longest) longest = gap } END { printf "%.0f", longest }')" ms
    fleet_stop
  done
  slope failover_gap service_with_killed_primary
}

# Measures the longest propagation time of five configuration changes, from
# before the plan until the change is in force at the last daemon, by the number
# of daemons. Uses the daemons' events, because polling takes more processor
# time than the change itself.
measure_force() {
  local size version id
  for size in 2 4 8; do
    begin "force-$size"
    start_daemons a "$size" a
    publish_hosts
    apply a-1 "$(workspaces_json 1)" '' '' ''
    wait_all_serving
    sleep "$settle_seconds"
    for version in 2 3 4 5 6; do
      printf '%s %s\n' "$version" "$EPOCHREALTIME" >>"$work/began"
      apply a-1 "$(workspaces_json "$version")" '' '' ''
      sleep 1
    done
    # An event's time has microseconds in its upper 52 of 64 bits.
    for id in $(daemon_names); do
      curl -sf "$(operators_url "$id")/events" |
        jq -r '.events[] | select(.event == "configuration_in_force") |
          "\(.fields.version) \(.time / 4096 | floor)"'
    done >"$work/in_force"
    point force_daemons "$size" \
      "$(awk '$1 == 6' "$work/in_force" | wc -l)" daemons
    point force_time "$size" "$(awk '
      NR == FNR { began[$1] = $2; next }
      $1 in began { took = $2 / 1000 - began[$1] * 1000
        if (took > longest) longest = took }
      END { printf "%.1f", longest }' "$work/began" "$work/in_force")" ms
    fleet_stop
  done
  slope force_time daemon
}

groups=("$@")
if [ "${#groups[@]}" -eq 0 ]; then
  groups=(connections daemons ring domains services declared document change
    statements failover force)
fi
printf 'note=machine cores=%s load=%s window_s=%s\n' "$(nproc)" \
  "$(cut -d' ' -f1 /proc/loadavg)" "$window"
for group in "${groups[@]}"; do
  printf 'group=%s\n' "$group"
  "measure_$group"
done
