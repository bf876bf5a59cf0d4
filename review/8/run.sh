#!/usr/bin/env bash
# A client hands a job in at an instance that stands still, leaves, and cancels the job elsewhere. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/egretmuxd ] && [ -x target/review-2/standin ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
trap 'kill "$standin" 2>/dev/null' TERM INT
timeout 110 target/review-2/standin frozen target/egretmuxd review/8/record.txt &
standin=$!
wait "$standin"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
