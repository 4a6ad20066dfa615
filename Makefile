.PHONY: demo test soak fuzz

# demo runs both example fleets on loopback and sends their requests.
demo:
	go mod download
	scripts/demo.sh nile-perch
	scripts/demo.sh annex

# test runs the formatter, the linter and all tests.
test:
	go mod download
	scripts/test.sh

# soak runs router processes under random faults; SEED is "7" or "1-50".
soak:
	CYCLAMENWINCH_SOAK_SEEDS=$(or $(SEED),1-50) go test -count=1 -timeout 60m ./test/prepared -ginkgo.focus "random faults" -ginkgo.v

# fuzz tries new inputs for half a minute each; the tests run the known ones.
fuzz:
	go test ./core/manifest -run '^$$' -fuzz FuzzManifest -fuzztime 30s -fuzzminimizetime 1x
	go test ./internal/settings -run '^$$' -fuzz FuzzParse -fuzztime 30s -fuzzminimizetime 1x
	go test ./internal/callerapi -run '^$$' -fuzz FuzzCallerBody -fuzztime 30s -fuzzminimizetime 1x
