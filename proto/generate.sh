#!/usr/bin/env bash
# Regenerates gen/ from proto/ with the generators pinned in go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$tools/protoc-gen-connect-go" connectrpc.com/connect/cmd/protoc-gen-connect-go
out=${1:-.}
PATH="$tools:$PATH" protoc -I proto --go_out="$out" --go_opt=module=godwitmount \
  --connect-go_out="$out" --connect-go_opt=module=godwitmount \
  proto/godwitmount/peer/v1/peer.proto
