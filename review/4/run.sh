#!/usr/bin/env bash
# Plays the scenario "stuck"; review/build.sh builds the program. With TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin stuck review/4/record.txt
