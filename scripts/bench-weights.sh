#!/usr/bin/env bash
# Prints one line per result, "name value unit target", and fails if a target is missed. Measures the distribution of a
# version to 520 hosts in virtual time, with and without faults and with two baselines; to 40 hosts over sockets with rate
# limits; and the cost of a scheduling decision and of hashing.
set -euo pipefail
cd "$(dirname "$0")/.."
export LOVAGE_BENCH=1
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT

run() { # run NAME PACKAGE BENCHMARK
  go test -run '^$' -bench "^$3\$" -benchtime "${4:-1x}" -count 1 -timeout 300s "$2" >"$results/$1" 2>&1
}

run sockets ./internal/weights/distribution BenchmarkFleet &
sockets_pid=$!
run virtual ./internal/weights/plan BenchmarkDistribution &
virtual_pid=$!
status=0
wait "$sockets_pid" || status=1
wait "$virtual_pid" || status=1
run decision ./internal/weights/plan BenchmarkDecision 1s || status=1
run hashing ./internal/weights/distribution BenchmarkHashing 1s || status=1

grep -hE '^(hosts|baseline|sockets)' "$results/virtual" "$results/sockets" || true
awk '/^BenchmarkDecision/ { printf "%-34s %10.3f %-8s -\n", "decision", $3 / 1000, "us" }' "$results/decision"
awk '/^BenchmarkHashing/ { for (i = 2; i < NF; i++) if ($(i + 1) == "store/plain") ratio = $i }
  END {
    if (ratio == "") { print "no figure: hashing_against_plain" > "/dev/stderr"; exit 1 }
    printf "%-34s %10.3f %-8s <=1.2\n", "hashing_against_plain", ratio, "x"
    exit ratio > 1.2
  }' "$results/hashing" || status=1
if [ "$status" -ne 0 ]; then
  grep -hE 'the bound is|never held|panic|FAIL' "$results"/* >&2 || true
fi
exit "$status"
