#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. It needs only Go; there are no dependencies.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../target/review/standin ./standin
