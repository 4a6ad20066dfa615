.PHONY: demo test soak fuzz

# demo runs both example fleets on loopback and sends their requests.
demo:
	go mod download
	scripts/demo.sh nile-perch
	scripts/demo.sh annex

# test checks the formatting, runs the linters and all tests.
test:
	go mod download
	scripts/test.sh

# soak runs router processes under random faults. SEED is a seed or a range, such
# as 7 or 1-50.
soak:
	CYCLAMENWINCH_SOAK_SEEDS=$(or $(SEED),1-50) go test -count=1 -timeout 60m ./test/prepared -ginkgo.focus "random faults" -ginkgo.v

# fuzz runs each fuzz test with new inputs for 30 seconds; "make test" runs only
# the known inputs.
fuzz:
	go test ./core/manifest -run '^$$' -fuzz FuzzManifest -fuzztime 30s -fuzzminimizetime 1x
	go test ./internal/settings -run '^$$' -fuzz FuzzParse -fuzztime 30s -fuzzminimizetime 1x
	go test ./internal/jsonscan -run '^$$' -fuzz FuzzSplit -fuzztime 30s -fuzzminimizetime 1x
	go test ./internal/callerapi -run '^$$' -fuzz FuzzCallerBody -fuzztime 30s -fuzzminimizetime 1x
	go test ./platform -run '^$$' -fuzz FuzzStoreResponses -fuzztime 30s -fuzzminimizetime 1x
	go test ./platform -run '^$$' -fuzz FuzzEntries -fuzztime 30s -fuzzminimizetime 1x
	go test ./platform -run '^$$' -fuzz FuzzCacheList -fuzztime 30s -fuzzminimizetime 1x
	go test ./internal/mesh -run '^$$' -fuzz FuzzHeartbeat -fuzztime 30s -fuzzminimizetime 1x
