#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the program of the deploy file: one program with the stand-ins
# for the store, the engines, the clients and the platform. It needs only the standard library, and no network.
set -euo pipefail
cd "$(dirname "$0")/stand2"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-2 .
