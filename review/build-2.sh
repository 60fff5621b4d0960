#!/bin/bash
# Builds the stand-ins that the scripts in review/7 to review/10 start. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/stand-2 ./review/stand-2
