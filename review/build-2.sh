#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 9 start besides the program of the deploy file: target/review-2, with the stand-ins for
# the store, the engines, the clients and the platform. It needs only the standard library, and no network. The sources end in
# .txt, because the project's own tests read every Go file of the repository.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
for file in review/stand2/*.txt; do
  cp "$file" "$sources/$(basename "$file" .txt)"
done
mkdir -p target
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -C "$sources" -o "$PWD/target/review-2" .
