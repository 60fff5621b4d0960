#!/usr/bin/env bash
# Runs the capacity benchmarks and writes the table of docs/CAPACITY.md. Takes at most five minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
figures=bin/capacity.txt
(cd tools && go build -o ../bin/capacity ./capacity)
: >"$figures"

measure() { # measure PACKAGE PATTERN BENCHTIME
  go test -run '^$' -bench "$2" -benchtime "$3" -count=1 -timeout 4m "$1" | tee -a "$figures"
}

measure ./internal/config '^BenchmarkSnapshot$' 300x
measure ./internal/rpc '^BenchmarkControlMessage$' 1000x
measure ./internal/routing '^BenchmarkIndex$' 100x
measure ./internal/attempt '^BenchmarkHeldAttempts$' 3x
measure ./internal/claim '^BenchmarkClaims$' 20x
measure ./internal/node '^BenchmarkNode$' 1x
measure ./internal/weights/plan '^BenchmarkDistributionSizes$' 1x
measure ./internal/burn '^BenchmarkHeldSeries$' 1x
measure ./internal/operate '^BenchmarkGather$' 20x
measure ./systemtest '^Benchmark(Requests|Tokens|ControlAtRest)$' 1x
bin/capacity docs/capacity.json "$figures" docs/CAPACITY.md
echo "written: docs/CAPACITY.md"
