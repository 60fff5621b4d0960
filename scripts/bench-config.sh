#!/usr/bin/env bash
# Measures the propagation of configuration and membership at the target size, in virtual time. Prints one line per
# result, "name value unit target", and fails if a target is missed.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
output=$(GOGC=100 go test ./internal/node -run '^$' -bench '^BenchmarkConfig$' -benchtime 1x -timeout 5m 2>&1) || status=$?
sed -n 's/^figure //p' <<<"$output"
if [ "$status" -ne 0 ]; then
  grep -v '^figure ' <<<"$output" >&2
  exit 1
fi
