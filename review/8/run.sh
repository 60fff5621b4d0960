#!/bin/bash
# Plays the scenario many-parts of review/stand-2. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/lovage-gateway target/lovage-sidecar target/review-2/stand-2; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh"
		exit 2
	fi
done
exec target/review-2/stand-2 many-parts review/8/record.txt
