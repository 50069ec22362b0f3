#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# The gateway is a child of the program and ends with it.
cd "$(dirname "$0")" || exit 2
program=../../target/review/memory
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
timeout -k 2 115 "$program"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
