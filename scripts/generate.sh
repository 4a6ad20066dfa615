#!/usr/bin/env bash
# Generates the Go code of internal/peerpb from its .proto files. Needs protoc
# (Debian package protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc -I internal/peerpb --go_out=internal/peerpb --go_opt=paths=source_relative \
  --go-grpc_out=internal/peerpb --go-grpc_opt=paths=source_relative internal/peerpb/*.proto
