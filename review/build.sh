#!/usr/bin/env bash
# Builds the stand-ins of the review. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= go build -o ../../target/review-standin .
