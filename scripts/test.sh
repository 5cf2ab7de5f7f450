#!/usr/bin/env bash
# Installs the required packages, builds, checks the format and runs the linter
# and all tests. --quick skips the linter and the sanitizer build.
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets builds in other checkouts share the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
quick=false
if [ "${1:-}" = --quick ]; then quick=true; fi

step() { printf '== %s\n' "$1"; }
trap 'printf "test.sh: step failed: %s\n" "$current" >&2' ERR
current=install

run() {
  current=$1
  step "$1"
  shift
  "$@"
}

own_sources() {
  git ls-files 'Source/*.h' 'Source/*.cc' 'platform/*.h' 'platform/*.cc' |
    grep -v /generated/
}

check_format() {
  own_sources | xargs clang-format --dry-run --Werror
}

configure() {
  cmake -S . -B "$1" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DCMAKE_BUILD_TYPE="$2" "${@:3}" >/dev/null
}

run_linter() {
  own_sources | grep '\.cc$' |
    xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/dev/null
}

# Prints the tests of KNOWN-RED.txt as a regular expression, or nothing.
known_red() {
  sed -e '/^#/d' -e '/^$/d' -e 's/;.*//' KNOWN-RED.txt | paste -sd '|'
}

# Runs the tests without those that are known to fail, which it prints.
run_tests() {
  local red exclude=()
  red=$(known_red)
  if [ -n "$red" ]; then
    sed -e '/^#/d' -e 's/^/known red: /' KNOWN-RED.txt
    exclude=(-E "^($red)\$")
  fi
  (cd "$1" && ctest --output-on-failure -j "$(nproc)" "${exclude[@]}" "${@:2}")
}

run install scripts/install-packages.sh
run format check_format
run configure configure build RelWithDebInfo
run build cmake --build build
run tests run_tests build
if ! $quick; then
  run lint run_linter
  run sanitizer-configure configure build-sanitize Debug \
    -DCAMPHORFERRY_SANITIZE=ON
  run sanitizer-build cmake --build build-sanitize
  run sanitizer-tests run_tests build-sanitize -LE process
fi
printf 'test.sh: ok\n'
