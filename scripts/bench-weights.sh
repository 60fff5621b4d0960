#!/usr/bin/env bash
# Prints one line a figure, "name value unit target", and fails when a bound is missed.
set -euo pipefail
cd "$(dirname "$0")/.."
echo "no figures yet"
