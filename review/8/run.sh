#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/turmericdoor ] || [ ! -x target/review-2 ]; then
  echo "build first: the build of deploy/system.toml, then review/build-2.sh" | tee review/8/record.txt
  exit 2
fi
exec target/review-2 signals review/8/record.txt
