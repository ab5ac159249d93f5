#!/usr/bin/env bash
# Plays the case "stale" with real processes on loopback; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run. Needs the build of the deploy file and review/build.sh.
set -u
export TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-stand ] || [ ! -x target/turmericdoor ]; then echo "not built: the deploy file, review/build.sh"; exit 2; fi
exec target/review-stand stale . review/5/record.txt
