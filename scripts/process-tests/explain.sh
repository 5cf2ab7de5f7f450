#!/usr/bin/env bash
# Guards against an explanation of a request that omits decisions about its
# service, or includes lines of other services or other times.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

cat >"$folder/a.log" <<'LOG'
time=2026-12-04T10:00:01.000Z level=WARN subsystem=connection event=promotion_started service=s1 reason=dead old_primary=e1 term=1 members=3
time=2026-12-04T10:00:01.100Z level=WARN subsystem=connection event=promotion_started service=s2 reason=dead old_primary=e9 term=1 members=3
time=2026-12-04T10:00:02.000Z level=WARN subsystem=connection event=promotion_ended service=s1 promoted=yes reason=leads primary=e2
time=2026-12-04T10:00:30.000Z level=INFO subsystem=connection event=primary_changed service=s1 primary=e3 term=3
LOG
cat >"$folder/b.log" <<'LOG'
time=2026-12-04T10:00:01.500Z level=INFO subsystem=request event=statement_refused request=r1 code=busy reason=no_primary last=no_primary service=s1 endpoint=e1 attempts=3 offered=no age_ms=900
time=2026-12-04T10:00:01.700Z level=INFO subsystem=version event=store_lost kind=members reason="no answer"
LOG

output=$(scripts/explain.sh r1 "$folder/a.log" "$folder/b.log")
expected='request r1|statement_refused|decisions|promotion_started service=s1|store_lost|promotion_ended service=s1'
found=$(printf '%s\n' "$output" |
  grep -oE 'request r1|statement_refused|decisions|(promotion_started|promotion_ended|primary_changed) service=[a-z0-9]+|store_lost' |
  paste -sd '|')
if [ "$found" != "$expected" ]; then
  printf 'explain: found %s\nexpected %s\n' "$found" "$expected"
  exit 1
fi
if scripts/explain.sh r2 "$folder/a.log" "$folder/b.log" 2>/dev/null; then
  printf 'explain: an unknown request has an explanation\n'
  exit 1
fi
printf 'explain: ok\n'
