#!/usr/bin/env bash
# Regenerates gen/, or the tree under the directory given as the argument, from
# proto/. protoc-gen-go has the version pinned in go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
out=${1:-.}
PATH="$tools:$PATH" protoc -I proto --go_out="$out" --go_opt=module=godwitmount \
  proto/godwitmount/hop/v1/hop.proto
