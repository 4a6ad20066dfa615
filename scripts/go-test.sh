#!/usr/bin/env bash
# Runs the tests of all packages except the known failures that KNOWN-RED.txt
# lists, and prints those entries. An entry is one line:
#
#   PACKAGE | go:TEST or spec:TEXT | command and seed | what was seen | issue
#
# go: gives the name of a Go test; spec: gives the texts of a Ginkgo spec's suite,
# containers and the spec itself, separated by spaces. Only that test is skipped.
# "none", empty lines and lines that start with # are not entries.
set -euo pipefail
# Guards against a hang. The default of ten minutes is one for the speed of the machine.
timeout=40m
list=KNOWN-RED.txt
entries=$(grep -vE '^(#.*|none|[[:space:]]*)$' "$list" || true)
packages=$(go list -f '{{.Dir}}' ./... | sed "s|^$PWD|.|")
if [ -z "$entries" ]; then
  exec go test -timeout "$timeout" ./...
fi
echo "Known red, passed over:"
echo "$entries"
# names PACKAGE KIND prints one regular expression that matches the tests of this
# kind that are listed for the package.
names() {
  awk -F ' [|] ' -v p="$1" -v kind="$2:" '$1 == p && index($2, kind) == 1 { print substr($2, length(kind) + 1) }' <<<"$entries" |
    sed 's/[][\.*^$+?(){}|]/\\&/g' | sed 's/.*/^&$/' | paste -sd '|' -
}
red=$(awk -F ' [|] ' '{ print $1 }' <<<"$entries" | sort -u)
failed=0
for package in $red; do
  if ! grep -qxF "$package" <<<"$packages"; then
    echo "KNOWN-RED.txt names a package that does not exist: $package"
    exit 1
  fi
  args=()
  tests=$(names "$package" go)
  specs=$(names "$package" spec)
  [ -z "$tests" ] || args+=(-skip "$tests")
  [ -z "$specs" ] || args+=(-ginkgo.skip "$specs")
  if [ ${#args[@]} = 0 ]; then
    echo "KNOWN-RED.txt has an entry without go: or spec: for $package"
    exit 1
  fi
  go test -timeout "$timeout" "$package" "${args[@]}" || failed=1
done
others=$(grep -vxF "$red" <<<"$packages" || true)
[ -z "$others" ] || go test -timeout "$timeout" $others || failed=1
exit $failed
