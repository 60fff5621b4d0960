#!/usr/bin/env bash
# Prints one line per result, "name value unit target", and fails if a target is missed. Takes at most 60 s.
#
# The load on one entry follows from the target size: 3,400 requests and 1,000,000 tokens per second over 350 hosts, of
# which a fifth is unavailable because one of 5 failure domains is down.
set -euo pipefail
cd "$(dirname "$0")/.."
results=$(mktemp)
trap 'rm -f "$results"' EXIT

bench() { # bench PACKAGE PATTERN BENCHTIME
  go test -run '^$' -bench "$2" -benchtime "$3" -count 1 -timeout 2m "$1" >>"$results" 2>&1 || {
    cat "$results" >&2
    exit 1
  }
}

bench ./internal/routing '^BenchmarkPick' 300ms
bench ./internal/admission '^BenchmarkColdLimit$' 1x
bench ./systemtest '^BenchmarkEntry(Latency|Requests|Tokens)$' 1x

awk -v requests=3400 -v tokens=1000000 -v hosts=350 -v domains=5 '
  /^Benchmark/ {
    name = $1
    sub(/^Benchmark/, "", name)
    sub(/-[0-9]+$/, "", name)
    for (i = 3; i < NF; i += 2) figure[name, $(i + 1)] = $i
  }
  function value(name, unit) {
    if (!((name, unit) in figure)) { missed = 1; print "no figure: " name " " unit > "/dev/stderr" }
    return figure[name, unit]
  }
  function show(label, number, unit, target) { printf "%s %s %s %s\n", label, number, unit, target }
  function at_most(label, number, unit, bound) {
    show(label, number, unit, "<=" bound)
    if (number + 0 > bound + 0) { missed = 1; print "missed: " label > "/dev/stderr" }
  }
  function at_least(label, number, unit, bound) {
    show(label, number, unit, ">=" bound)
    if (number + 0 < bound + 0) { missed = 1; print "missed: " label > "/dev/stderr" }
  }
  END {
    naive = value("PickNaive", "ns/op")
    show("pick_600_runners", value("Pick", "ns/op"), "ns", "none")
    show("pick_600_runners_affinity", value("PickAffinity", "ns/op"), "ns", "none")
    show("pick_600_runners_all_full", value("PickFull", "ns/op"), "ns", "none")
    show("pick_600_runners_naive", naive, "ns", "none")
    at_most("pick_allocations", value("Pick", "allocs/op"), "allocations", 0)
    at_most("pick_affinity_allocations", value("PickAffinity", "allocs/op"), "allocations", 0)
    at_most("pick_affinity_to_naive", sprintf("%.4f", value("PickAffinity", "ns/op") / naive), "ratio", 0.1)
    at_most("cold_endpoint_above_limit", value("ColdLimit", "above-limit"), "requests", 0)
    at_least("cold_endpoint_above_limit_without_gate", value("ColdLimit", "above-limit-ungated"), "requests", 1)
    show("answer_direct_p50", value("EntryLatency", "direct-p50-ms"), "ms", "none")
    show("answer_direct_p95", value("EntryLatency", "direct-p95-ms"), "ms", "none")
    show("entry_added_p50", value("EntryLatency", "added-p50-ms"), "ms", "none")
    show("entry_added_p95", value("EntryLatency", "added-p95-ms"), "ms", "none")
    show("entry_added_first_token_p95", value("EntryLatency", "added-first-token-p95-ms"), "ms", "none")
    at_most("entry_to_direct_p50", value("EntryLatency", "ratio-p50"), "ratio", 1.25)
    at_most("entry_to_direct_p95", value("EntryLatency", "ratio-p95"), "ratio", 1.25)
    carried = value("EntryRequests", "requests/s")
    generated = value("EntryTokens", "tokens/s")
    show("entry_share_requests", sprintf("%.1f", requests / hosts), "requests/s", "none")
    show("entry_share_tokens", sprintf("%.0f", tokens / hosts), "tokens/s", "none")
    at_least("entry_requests", carried, "requests/s", sprintf("%.1f", requests / (hosts * (domains - 1) / domains)))
    at_least("entry_tokens", generated, "tokens/s", sprintf("%.0f", tokens / (hosts * (domains - 1) / domains)))
    show("entries_for_all_requests", sprintf("%.1f", requests / carried), "entries", "none")
    show("entries_for_all_tokens", sprintf("%.1f", tokens / generated), "entries", "none")
    exit missed
  }' "$results"
