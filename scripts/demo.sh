#!/usr/bin/env bash
# Runs a complete system in separate processes on loopback: three failure domains, each with one entry, two model runners
# and one plain service. Exits 0 only if every response was complete. Stops the processes that it started, by process id.
set -euo pipefail
cd "$(dirname "$0")/.."

workdir=$(mktemp -d)
subnet="127.$((RANDOM % 200 + 20))"
pids=()
cleanup() {
  trap - EXIT
  if [ ${#pids[@]} -gt 0 ]; then
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  rm -rf "$workdir"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

start() { # start LOG PROGRAM ARGS...
  local log=$1
  shift
  "$@" >"$workdir/$log.log" 2>&1 &
  pids+=($!)
}

await() { # await URL: waits until a request succeeds, for at most 20 s
  for _ in $(seq 200); do
    if curl -fsS -o /dev/null --max-time 1 "$1" 2>/dev/null; then return; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 5 "$workdir"/*.log >&2
  exit 1
}

say "building"
go build -o "$workdir/bin/" ./cmd/...
bin=$workdir/bin

platform="$subnet.0.1:7000"
cat >"$workdir/platform.json" <<JSON
{"tables_address":"$platform","objects_address":"$platform","hosts_address":"$platform","origin_address":"$platform"}
JSON
export LOVAGE_PLATFORM="$workdir/platform.json"
origin_rate=$((32 << 20))
start platform "$bin/lovage-standin" --listen "$platform" platform --origin-rate $origin_rate
await "http://$platform/stats"

hosts=()
entries=()
booking_addresses=()
model_endpoints=()
plain_endpoints=()

host_json() { # host_json ID ROLE DOMAIN REGION ADDRESS
  printf '{"id":"%s","role":"%s","failure_domain":"%s","region":"%s","data_address":"%s:7001","control_address":"%s:7002","state":"live"}' "$1" "$2" "$3" "$4" "$5" "$5"
}

add_entry() { # add_entry ID DOMAIN REGION ADDRESS
  local host
  host=$(host_json "$1" entry "$2" "$3" "$4")
  hosts+=("$host")
  entries+=("$4:7001")
  printf '{"host":%s,"platform":%s,"seeds":[]}' "$host" "$(cat "$LOVAGE_PLATFORM")" >"$workdir/$1.json"
  start "$1" "$bin/lovage-entry" --settings "$workdir/$1.json"
}

add_agent() { # add_agent ID DOMAIN REGION ADDRESS KIND
  local host
  host=$(host_json "$1" agent "$2" "$3" "$4")
  hosts+=("$host")
  printf '{"host":%s,"platform":%s,"seeds":[],"backend_address":"%s:7003","backend_kind":"%s"}' "$host" "$(cat "$LOVAGE_PLATFORM")" "$4" "$5" >"$workdir/$1.json"
  start "$1-backend" "$bin/lovage-standin" --listen "$4:7003" "$5"
  start "$1" "$bin/lovage-agent" --settings "$workdir/$1.json"
}

say "starting three failure domains"
domain_number=0
for region in dobrogea muntenia moldova; do
  domain_number=$((domain_number + 1))
  domain=$region-a
  add_entry "entry-$region" "$domain" "$region" "$subnet.$domain_number.1"
  for slot in 1 2; do
    add_agent "runner-$region-$slot" "$domain" "$region" "$subnet.$domain_number.1$slot" engine
    model_endpoints+=("{\"host\":\"runner-$region-$slot\",\"failure_domain\":\"$domain\"}")
  done
  add_agent "bookings-$region" "$domain" "$region" "$subnet.$domain_number.20" plain
  plain_endpoints+=("{\"host\":\"bookings-$region\",\"failure_domain\":\"$domain\"}")
  booking_addresses+=("$subnet.$domain_number.20:7003")
done
join() { local IFS=,; echo "$*"; }
curl -fsS -X PUT --data "[$(join "${hosts[@]}")]" "http://$platform/hosts"

say "adding a version of 8 MiB and applying a configuration"
head -c $((8 << 20)) /dev/urandom >"$workdir/weights"
version=$("$bin/lovagectl" version add "$workdir/weights" --model brief --object brief-v1 --chunk-bytes 262144)
mkdir "$workdir/config"
cat >"$workdir/config/all.json" <<JSON
{
  "failure_domains": [
    {"name": "dobrogea-a", "region": "dobrogea"},
    {"name": "muntenia-a", "region": "muntenia"},
    {"name": "moldova-a", "region": "moldova"}
  ],
  "workspaces": [{"name": "constanta"}],
  "models": [{"name": "brief"}],
  "versions": [{"name": "brief-v1", "model": "brief", "manifest": "$version"}],
  "services": [
    {"name": "brief-models", "kind": "model", "endpoints": [$(join "${model_endpoints[@]}")],
     "limits": {"cold": 4, "max": 32, "queue": 64}, "objectives": {"availability": 0.999}},
    {"name": "bookings", "kind": "plain", "endpoints": [$(join "${plain_endpoints[@]}")],
     "calls": [{"method": "GET", "path": "/profile", "idempotent": true}],
     "limits": {"cold": 8, "max": 64, "queue": 64}, "objectives": {"availability": 0.999}}
  ],
  "rules": [{"name": "brief", "service": "brief-models", "version": "brief-v1",
    "replicas": {"dobrogea-a": 2, "muntenia-a": 2, "moldova-a": 2}}]
}
JSON
"$bin/lovagectl" config check "$workdir/config"
"$bin/lovagectl" config apply "$workdir/config"
replicas=$("$bin/lovagectl" wait --timeout 30s)
echo "$replicas"
for address in "${entries[@]}"; do await "http://$address/readyz"; done
"$bin/lovagectl" status
origin_bytes=$(curl -fsS "http://$platform/stats" | sed 's/[^0-9]//g')

load() { # load SECONDS
  "$bin/lovage-load" --entries "$(join "${entries[@]}")" --workspace constanta --model-service brief-models \
    --plain-service bookings --rate 40 --duration "$1s" --books "$(join "${booking_addresses[@]}")" --strict
}

say "model requests and bookings"
load 3

say "taking moldova-a out and back under load"
load 6 >"$workdir/change.out" 2>&1 &
load_pid=$!
"$bin/lovagectl" domain out moldova-a
"$bin/lovagectl" wait --timeout 10s
"$bin/lovagectl" domain in moldova-a
"$bin/lovagectl" wait --timeout 10s
load_status=0
wait "$load_pid" || load_status=$?
cat "$workdir/change.out"

say "the three measures"
echo "time to replicas: $replicas"
awk -v bytes="$origin_bytes" 'BEGIN { printf "origin bytes: %d (%.2f copies for 6 replicas in 3 regions)\n", bytes, bytes / (8 * 1048576) }'
echo "service during the change: $(tail -n 1 "$workdir/change.out")"
exit $load_status
