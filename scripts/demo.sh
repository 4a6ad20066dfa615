#!/usr/bin/env bash
# Runs a small fleet on loopback: three routers, the platform's stand-in, two
# model runners and one order runner; sends the example requests, prints
# answers, service and time line, and stops everything gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
example=${1:-nile-perch}
dir=examples/$example
out=$(mktemp -d)
bin=$out/bin
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$out"
}
trap cleanup EXIT
mkdir "$bin"
go build -o "$bin/" ./cmd/...
start() { "$@" >>"$out/log" 2>&1 & pids+=($!); }
ready() {
  for _ in $(seq 100); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "nothing listens on port $1"; cat "$out/log"; return 1
}
start "$bin/cyclamenwinch-standin" --role platform --listen 127.0.0.1:19000
start "$bin/cyclamenwinch-standin" --role model --name runner-1 --listen 127.0.0.1:19100
start "$bin/cyclamenwinch-standin" --role model --name runner-2 --listen 127.0.0.1:19101
start "$bin/cyclamenwinch-standin" --role order --name orders-1 --fence --listen 127.0.0.1:19200
for port in 19000 19100 19101 19200; do ready $port; done
routers=()
for r in a b c; do
  start "$bin/cyclamenwinchd" --settings "$dir/router-$r.json"
  routers+=("${pids[-1]}")
done
for port in 19010 19011 19012 19030; do ready $port; done
export CYCLAMENWINCH_PLATFORM=http://127.0.0.1:19000 CYCLAMENWINCH_OPS=http://127.0.0.1:19030 CYCLAMENWINCH_TOKEN=demo-ops
"$bin/cyclamenwinch" check "$dir/manifest.json"
"$bin/cyclamenwinch" submit "$dir/manifest.json"
"$bin/cyclamenwinch" wait --generation 1
echo; echo "== Answers"
"$bin/cyclamenwinch-load" call --router http://127.0.0.1:19010 "$dir/requests.json"
echo; echo "== Service"
sleep 1
"$bin/cyclamenwinch" status
echo; echo "== Time line"
"$bin/cyclamenwinch" timeline
echo; echo "== Stop"
failed=0
for pid in "${routers[@]}"; do kill -TERM "$pid"; done
for pid in "${routers[@]}"; do wait "$pid" || failed=1; done
[ $failed = 0 ] || { cat "$out/log"; exit 1; }
echo "All routers stopped gracefully."
