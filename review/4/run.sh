#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/build/review-withdrawn_key
[ -x "$program" ] && [ -x target/platform/camphorferry-proxy ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$program" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
