#!/usr/bin/env bash
# Explains one request from the logs of several daemons:
#   scripts/explain.sh REQUEST_ID LOG...
# Prints the log lines of the request, then the decisions of the daemons about
# its service, workspace, endpoint and keeper around that time, sorted by time.
# Exits with 1 if no log contains the request.
set -euo pipefail
if [ $# -lt 2 ]; then
  printf 'usage: explain.sh REQUEST_ID LOG...\n' >&2
  exit 2
fi
request=$1
shift
# Time before and after the request's lines in which decisions are included.
window_s=${EXPLAIN_WINDOW_S:-5}

own=$(grep -h "request=$request\b" "$@" | sort -t= -k2,2 || true)
if [ -z "$own" ]; then
  printf 'explain.sh: no log names request %s\n' "$request" >&2
  exit 1
fi
printf '== request %s\n%s\n' "$request" "$own"

# Values of the fields by which other lines relate to this request.
values=$(printf '%s\n' "$own" |
  grep -oE '\b(service|endpoint|workspace|keeper)=[^" ]+' |
  sed 's/^[^=]*=//' | sort -u)
first=$(printf '%s\n' "$own" | head -1 | grep -oE 'time=[^ ]+' | cut -d= -f2)
last=$(printf '%s\n' "$own" | tail -1 | grep -oE 'time=[^ ]+' | cut -d= -f2)
from=$(date -u -d "$first - $window_s seconds" +%Y-%m-%dT%H:%M:%S.%3NZ)
to=$(date -u -d "$last + $window_s seconds" +%Y-%m-%dT%H:%M:%S.%3NZ)

related='event=(primary_changed|promotion_|replicas_left_held|peer_|fleet_size|store_|configuration_in_force|started|stop_requested|stopped|log_lines_dropped)'
printf '== decisions from %s to %s\n' "$from" "$to"
grep -hE "$related" "$@" |
  awk -v from="$from" -v to="$to" -v values="$values" '
    BEGIN { split(values, wanted, "\n") }
    {
      if (!match($0, /time=[^ ]+/)) next
      time = substr($0, RSTART + 5, RLENGTH - 5)
      if (time < from || time > to) next
      # Includes lines with a service or a peer only if they have one of the
      # values.
      if ($0 ~ /(service|peer)=/) {
        named = 0
        for (i in wanted) {
          if (wanted[i] != "" && index($0, "=" wanted[i])) named = 1
        }
        if (!named) next
      }
      print time "\t" $0
    }' | sort | cut -f2- | uniq
