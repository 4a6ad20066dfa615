.PHONY: demo test lint

# demo runs a small fleet on loopback and sends the example requests.
demo:
	go mod download
	scripts/demo.sh nile-perch

# test runs the formatter, the linter and all tests.
test:
	go mod download
	scripts/test.sh
