#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2. It needs only Go; there are no
# dependencies.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../target/review-2/standin ./standin2
