.PHONY: demo test fuzz

# demo runs both example fleets on loopback and sends their requests.
demo:
	go mod download
	scripts/demo.sh nile-perch
	scripts/demo.sh annex

# test runs the formatter, the linter and all tests.
test:
	go mod download
	scripts/test.sh

# fuzz tries new inputs for half a minute each; the tests run the known ones.
fuzz:
	go test ./core/manifest -run '^$$' -fuzz FuzzManifest -fuzztime 30s -fuzzminimizetime 1x
	go test ./internal/settings -run '^$$' -fuzz FuzzParse -fuzztime 30s -fuzzminimizetime 1x
	go test ./internal/callerapi -run '^$$' -fuzz FuzzCallerBody -fuzztime 30s -fuzzminimizetime 1x
