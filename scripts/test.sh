#!/usr/bin/env bash
# Runs the formatter, the linter and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then echo "gofmt differs: $unformatted"; exit 1; fi
go vet ./...
go tool staticcheck ./...
# The same random choices in every run, so that a verdict can be repeated.
export RAPID_SEED=${RAPID_SEED:-1}
scripts/go-test.sh
