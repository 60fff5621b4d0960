#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The programs of the deploy file must have been built into target/ before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/stand ./review/stand
