#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review-stand. The sources end in .txt, so that the project's own checks of its
# packages pass over them; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
for source in review/stand/*.txt; do
  name=$(basename "$source" .txt)
  cp "$source" "$sources/$name"
done
mkdir -p target
cd "$sources"
GOWORK=off go build -o "$root/target/review-stand" .
