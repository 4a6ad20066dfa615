#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/6 to review/10 start. They use the standard
# library only. The routers are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target
cd review/stand2
GOFLAGS=-mod=mod GOWORK=off go build -o "$root/target/review-stand2" .
