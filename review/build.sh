#!/usr/bin/env bash
# Builds the stand-in of the scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS= GOWORK=off go build -o ../../target/review/standin .
