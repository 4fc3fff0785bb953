#!/usr/bin/env bash
# Regenerates the committed protobuf code; needs protoc, protoc-gen-go and protoc-gen-connect-go.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I internal/protocol/exchanger \
  --go_out=internal/protocol/exchanger --go_opt=paths=source_relative \
  --connect-go_out=internal/protocol/exchanger --connect-go_opt=paths=source_relative \
  exchanger.proto
