#!/usr/bin/env bash
# Regenerates the committed gRPC code from the protocol files.
set -euo pipefail
cd "$(dirname "$0")/../Source/Core/Protocol"
mkdir -p generated
protoc --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
  peer.proto fleet.proto
