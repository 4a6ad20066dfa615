#!/usr/bin/env bash
# Checks the formatting, runs the linters and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then echo "gofmt differs: $unformatted"; exit 1; fi
go vet ./...
go tool staticcheck ./...
# All runs use the same random seed, so that a result can be reproduced.
export RAPID_SEED=${RAPID_SEED:-1}
scripts/go-test.sh
