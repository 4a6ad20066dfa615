#!/usr/bin/env bash
# Runs a small fleet on loopback: three routers, a stand-in for the platform, two
# model runners and one order runner. Sends the example requests, prints the
# responses, the service of the accounts, the timeline and the explanation of one
# request, and stops everything gracefully. Fails if any step fails.
#
#   scripts/demo.sh [nile-perch|annex]
#
# DEMO_PORTS=24 uses the ports 24xxx instead of 19xxx.
set -euo pipefail
cd "$(dirname "$0")/.."
example=${1:-nile-perch}
ports=${DEMO_PORTS:-19}
out=$(mktemp -d)
bin=$out/bin
dir=$out/$example
pids=()
cleanup() {
  status=$?
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  if [ $status != 0 ]; then echo "The demo failed; the processes' log:"; cat "$out/log"; fi
  rm -rf "$out"
  exit $status
}
trap cleanup EXIT
mkdir "$bin"
go build -o "$bin/" ./cmd/...
cp -r "examples/$example" "$dir"
sed -i "s/127\.0\.0\.1:19/127.0.0.1:$ports/g" "$dir"/*.json
start() { "$@" >>"$out/log" 2>&1 & pids+=($!); }
# ready waits until the process started last listens on a port.
ready() {
  for _ in $(seq 300); do
    if ! kill -0 "${pids[-1]}" 2>/dev/null; then echo "the process for port $1 has ended"; return 1; fi
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "nothing listens on port $1"
  return 1
}
start "$bin/cyclamenwinch-standin" --role platform --listen "127.0.0.1:${ports}000"; ready "${ports}000"
start "$bin/cyclamenwinch-standin" --role model --name runner-1 --listen "127.0.0.1:${ports}100"; ready "${ports}100"
start "$bin/cyclamenwinch-standin" --role model --name runner-2 --listen "127.0.0.1:${ports}101"; ready "${ports}101"
start "$bin/cyclamenwinch-standin" --role order --name orders-1 --fence --listen "127.0.0.1:${ports}200"; ready "${ports}200"
routers=()
for r in a b c; do
  "$bin/cyclamenwinchd" --settings "$dir/router-$r.json" --check >>"$out/log"
  start "$bin/cyclamenwinchd" --settings "$dir/router-$r.json"
  routers+=("${pids[-1]}")
done
export CYCLAMENWINCH_PLATFORM=http://127.0.0.1:${ports}000
export CYCLAMENWINCH_OPS=http://127.0.0.1:${ports}030,http://127.0.0.1:${ports}031
export CYCLAMENWINCH_TOKEN=demo-ops
for port in 030 031 032; do ready "$ports$port"; done
echo "== Configuration"
"$bin/cyclamenwinch" check "$dir/manifest.json"
"$bin/cyclamenwinch" diff "$dir/manifest.json" | tail -1
"$bin/cyclamenwinch" submit "$dir/manifest.json"
"$bin/cyclamenwinch" wait --generation 1 --routers 3
echo; echo "== Answers"
"$bin/cyclamenwinch-load" call --router "http://127.0.0.1:${ports}010" "$dir/requests.json"
echo; echo "== State and service"
# A router learns from heartbeats what service accounts got at other routers.
for _ in $(seq 50); do
  "$bin/cyclamenwinch" status >"$out/status"
  if awk '/^CLIENT ACCOUNT/ { t = 1; next } NF == 0 { t = 0 } t && $3 == 0 { lag = 1 } END { exit lag }' "$out/status"; then break; fi
  sleep 0.1
done
cat "$out/status"
echo; echo "== Time line"
"$bin/cyclamenwinch" timeline | tee "$out/timeline"
request=$(awk '$3 == "request_ended" { print $4; exit }' "$out/timeline")
echo; echo "== Story of request $request"
"$bin/cyclamenwinch" explain "$request"
echo; echo "== Stop"
for pid in "${routers[@]}"; do kill -TERM "$pid"; done
for pid in "${routers[@]}"; do wait "$pid"; done
echo "All routers stopped gracefully."
