#!/usr/bin/env bash
# Builds the stand-ins of the review. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../../target/review-standin .
