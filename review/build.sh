#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into review/bin. They are a
# module of their own that uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
for dir in [0-9]*/; do
  if [ -f "${dir}main.go" ]; then go build -o "bin/case${dir%/}" "./${dir%/}"; fi
done
