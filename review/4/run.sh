#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x review/bin/stage ] && [ -x target/rhubarbpost ] || exit 2
TROUBLE="${TROUBLE:-1}" exec review/bin/stage deadly-restart "review/4/record.txt"
