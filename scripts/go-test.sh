#!/usr/bin/env bash
# Runs the tests of all packages, but passes over the entries of
# KNOWN-RED.txt and prints them. An entry is one line:
#
#   PACKAGE | go:TEST or spec:TEXT | command and seed | what was seen | issue
#
# go: names a Go test; spec: a Ginkgo spec by the texts of its suite, its
# containers and itself, with a space between. Only that test is passed over. "none", empty lines and lines that start with # are no entries.
set -euo pipefail
list=KNOWN-RED.txt
entries=$(grep -vE '^(#.*|none|[[:space:]]*)$' "$list" || true)
packages=$(go list -f '{{.Dir}}' ./... | sed "s|^$PWD|.|")
if [ -z "$entries" ]; then
  exec go test ./...
fi
echo "Known red, passed over:"
echo "$entries"
# names PACKAGE KIND prints the package's entries of a kind as one pattern.
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
  go test "$package" "${args[@]}" || failed=1
done
others=$(grep -vxF "$red" <<<"$packages" || true)
[ -z "$others" ] || go test $others || failed=1
exit $failed
