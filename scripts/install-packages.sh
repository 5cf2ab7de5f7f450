#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests require.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libevent-dev libgrpc++-dev libprotobuf-dev protobuf-compiler
  protobuf-compiler-grpc libtomlplusplus-dev libpopt-dev liblog4cplus-dev
  libgtest-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev libssl-dev
  curl jq
)
missing=()
for package in "${packages[@]}"; do
  if [ "$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null)" \
    != installed ]; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
