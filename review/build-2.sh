#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Run it after the build of the deploy file. It needs no
# network: the stand-ins use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../../target/review-standin-2 .
