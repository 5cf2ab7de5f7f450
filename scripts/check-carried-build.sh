#!/usr/bin/env bash
# Checks that a build folder that was carried over is not trusted: the objects
# of a source that has changed without becoming newer must be rebuilt.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp -r CMakeLists.txt cmake Source platform "$folder"
cd "$folder"

configure() { cmake -S . -B target -G Ninja >/dev/null; }
compile() { cmake --build target --target camphorferry_common >/dev/null; }
object() {
  sha256sum target/Source/Core/Common/CMakeFiles/camphorferry_common.dir/carried_over.cc.o
}

cat >Source/Core/Common/carried_over.cc <<<'int CarriedOver() { return 1; }'
configure
compile
first=$(object)
cat >Source/Core/Common/carried_over.cc <<<'int CarriedOver() { return 2; }'
find . -path ./target -prune -o -type f -exec touch -d '2020-01-01' {} +
configure
compile
if [ "$(object)" = "$first" ]; then
  printf 'check-carried-build.sh: the object of the former source was kept\n' >&2
  exit 1
fi
if [ -n "$(cmake --build target --target camphorferry_common -- -n |
  grep 'Building' || true)" ]; then
  printf 'check-carried-build.sh: objects are rebuilt without a change\n' >&2
  exit 1
fi
printf 'check-carried-build.sh: ok\n'
