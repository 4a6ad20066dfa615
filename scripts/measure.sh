#!/usr/bin/env bash
# Repeats the measurements of docs/MEASUREMENTS.md: starts 7 routers, 12 model
# runners, 3 order runners and a stand-in for the platform on loopback, sends the
# seeded plans to the routers and to the baselines, and evaluates the results
# from outside the routers. Takes under 8 minutes.
#   scripts/measure.sh [directory for the reports] [seed] [seconds per run]
# A soak test of 20 minutes, with a single run:
#   ONLY=flood scripts/measure.sh soak 1 1200
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-measurements}
seed=${2:-1}
seconds=${3:-40}
example=${EXAMPLE:-nile-perch}
base=${BASE_PORT:-25000}
mkdir -p "$out"
dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT
go build -o "$dir/bin/" ./cmd/...
load=$dir/bin/cyclamenwinch-load
"$load" layout --example "examples/$example" --dir "$dir" --base-port "$base" --seed "$seed" --seconds "$seconds"
while read -r line; do
  # shellcheck disable=SC2086 # the command line is meant to be split into words
  "$dir"/bin/$line >>"$dir/log" 2>&1 &
  pids+=($!)
done <"$dir/processes"
platform=http://127.0.0.1:$base
ops=http://$(sed -n 's/.*"ops_listen": "\(.*\)".*/\1/p' "$dir/router-1.json")
token=$(sed -n 's/.*"ops_token": "\(.*\)".*/\1/p' "$dir/router-1.json")
for _ in $(seq 100); do
  "$dir/bin/cyclamenwinch" submit --platform "$platform" "$dir/manifest.json" 2>/dev/null && break
  sleep 0.1
done
"$dir/bin/cyclamenwinch" wait --ops "$ops" --token "$token" --generation 1
failed=0
logs=()
run() { # name, plan, target (routers or a baseline)
  echo; echo "== $1"
  "$load" run --against "$3" --report "$out/$1.json" --log "$dir/$1.jsonl" "$dir/plan-$2.json" | tee "$out/$1.txt"
  if [ "$3" = routers ]; then logs+=("$dir/$1.jsonl"); fi
  files | tee -a "$out/$1.txt"
}
files() { # number of open files of each router, connections included
  echo -n "OPEN FILES "
  for pid in "${pids[@]}"; do
    if [ "$(cat "/proc/$pid/comm")" = cyclamenwinchd ]; then echo -n " $(ls "/proc/$pid/fd" | wc -l)"; fi
  done
  echo
}
pair() { # run, baseline
  echo; echo "== $1 against $2"
  "$load" compare "$out/$1.json" "$out/$2.json" | tee "$out/$1-to-$2.txt"
}
if [ -n "${ONLY:-}" ]; then
  run "$ONLY" "$ONLY" routers
else
  # The first run starts cold and warms the runners for the others. The baselines
  # run last, because the routers treat runners that they have not used for a
  # while as cold.
  run start quiet routers
  run quiet quiet routers
  run flood flood routers
  run contention contention routers
  run move contention-move routers
  run fcfs contention fcfs
  run round-robin contention round-robin
  pair contention fcfs
  pair contention round-robin
  pair flood quiet
  "$load" plot --dir "$out" "$out/contention.json" "$out/fcfs.json" "$out/round-robin.json"
fi
echo; echo "== Promises, from outside"
"$load" check --plan "$dir/plan-contention.json" "${logs[@]}" | tee "$out/check.txt" || failed=1
exit $failed
