#!/usr/bin/env bash
# Runs proxy processes with randomized fault injection, one run per seed:
#   scripts/soak.sh [--no-build] [--regression] [--seeds N] [--first-seed S]
#                   [--seconds T] [--daemons D] [--clients C] [--services V]
#                   [--promotions | --rates | --access]
# --promotions plays many promotions, some of whose orders arrive late. --rates
# plays a workspace that exceeds its rate while daemons are cut off. --access
# plays keys that are withdrawn, moved and given back to connected clients.
# --regression runs the seeds of scripts/soak-seeds.txt instead. Prints one line
# per seed and exits with 0 only if every guarantee held. Keeps the logs of
# failed seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${CAMPHORFERRY_BUILD:-build}
folder=${CAMPHORFERRY_SOAK_FOLDER:-$(mktemp -d)}
make=true
regression=false
options=()
for word in "$@"; do
  case $word in
  --no-build) make=false ;;
  --regression) regression=true ;;
  *) options+=("$word") ;;
  esac
done

if $make; then
  cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
  cmake --build "$build" --target camphorferry-soak camphorferry-proxy
fi

run() {
  "$build/Source/Soak/camphorferry-soak" \
    --program "$build/platform/camphorferry-proxy" --folder "$folder" "$@" |
    grep -vE 'event=(fault_begins|promotion_accepted|promotion_effective)'
}

if ! $regression; then
  run "${options[@]}"
else
  failed=0
  while read -r seed _; do
    run --first-seed "$seed" --seeds 1 "${options[@]}" || failed=1
  done < <(sed -e '/^#/d' -e '/^$/d' scripts/soak-seeds.txt)
  exit "$failed"
fi
