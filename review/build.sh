#!/usr/bin/env bash
# Builds the stand-in of the scripts of cases 2 to 5 into target/review/.
set -euo pipefail
cd "$(dirname "$0")/2/standin"
mkdir -p ../../../target/review
GOFLAGS= GOWORK=off go build -o ../../../target/review/standin .
