# All targets need only Go, bash and curl.
SHELL := /bin/bash
TOOL := go tool -modfile=tools/go.mod
BENCH := go test -run '^$$' -count=1

.PHONY: all build demo test check unit crowd bench-entry bench-weights bench-config capacity

all: build

build:
	go build -o bin/ ./cmd/...

demo:
	bash scripts/demo.sh

# Everything that CI runs.
test: check unit crowd demo bench-entry bench-weights bench-config

check:
	@out=$$($(TOOL) gofumpt -l cmd internal systemtest tools); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi
	go vet ./... && cd tools && go vet ./... && go test ./...
	$(TOOL) staticcheck ./...

# Unit and failure tests with the race detector. Failures of the tests listed in KNOWN-RED.txt do not fail the target.
unit:
	@mkdir -p bin && (cd tools && go build -o ../bin/knownred ./knownred)
	@go test -race -count=1 -timeout 8m -json -skip '^TestCrowd' ./... | bin/knownred KNOWN-RED.txt

# Clients that do not behave, one test at a time. They bound the memory of processes, which the race detector multiplies.
crowd:
	@mkdir -p bin && (cd tools && go build -o ../bin/knownred ./knownred)
	@go test -p 1 -count=1 -timeout 8m -json -run '^TestCrowd' ./systemtest ./systemtest/crowd ./systemtest/soak | bin/knownred KNOWN-RED.txt

bench-entry:
	@bash scripts/bench-entry.sh

bench-weights:
	@bash scripts/bench-weights.sh

bench-config:
	@bash scripts/bench-config.sh

capacity:
	@bash scripts/capacity.sh
