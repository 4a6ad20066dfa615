#!/usr/bin/env bash
# Recomputes the slopes and sums of docs/CAPACITY.md: runs fleets of several
# sizes on loopback with a stand-in for the platform, measures them, runs the
# benchmarks and regenerates the page's tables and plots.
#   scripts/capacity.sh [directory for the samples]
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-measurements/capacity}
base=${BASE_PORT:-23000}
window=${WINDOW:-10}
dir=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$dir"' EXIT
mkdir -p "$out"
: >"$out/samples.jsonl"
go build -o "$dir/bin/" ./cmd/...
capacity=$dir/bin/cyclamenwinch-capacity

start_lines() { # file with command lines; sets started to the PIDs of the new processes
  started=()
  while read -r line; do
    # shellcheck disable=SC2086 # the command line is meant to be split into words
    "$dir"/bin/$line >>"$dir/log" 2>&1 &
    started+=($!)
  done <"$1"
  pids+=("${started[@]}")
}
fleet() { # routers, accounts, endpoints
  size=(--routers "$1" --accounts "$2" --endpoints "$3")
  rm -rf "$dir/fleet"; mkdir "$dir/fleet"
  "$capacity" layout --dir "$dir/fleet" --base-port "$base" "${size[@]}"
  start_lines "$dir/fleet/standins"
  sleep 0.5
  start_lines "$dir/fleet/routers"
  routers=("${started[@]}")
  "$capacity" start --dir "$dir/fleet" || { tail -5 "$dir/log"; echo "a fleet of $1 did not start: not measured"; stop_all; return 1; }
}
measure() { # label, additional flags
  local label=$1
  shift
  "$capacity" measure --dir "$dir/fleet" --out "$out/samples.jsonl" --label "$label" --seconds "$window" "${size[@]}" "$@" "${routers[@]}"
}

echo "== Routers"
for n in ${SIZES:-3 7 20 40}; do
  fleet "$n" 16 15 || continue
  measure idle --settle "$((3 + n / 2))" # time for the changes of the start to reach all routers
  measure changes --changes 4
  if [ "$n" = 7 ]; then
    measure requests-35 --requests 35
    measure requests-105 --requests 105
    measure orders-7 --orders 7
    measure orders-21 --orders 21
  fi
  stop_all
done
echo "== Endpoints and client accounts"
for shape in "16 3000" "16 12000" "500 15" "2200 15" "2200 12000"; do
  # shellcheck disable=SC2086 # two numbers, meant to be split
  fleet 3 $shape || continue
  measure sized
  measure sized-changes --changes 4
  stop_all
done
echo "== Benchmarks"
go test -run "^$" -bench . -benchtime 200ms ./core/member ./core/manifest ./core/usage | tee "$out/bench.txt"
"$capacity" page --samples "$out/samples.jsonl" --bench "$out/bench.txt"
