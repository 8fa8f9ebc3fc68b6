#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/review/release/endless
[ -x "$program" ] && [ -x ../../target/release/chervilspool ] || { echo "not built"; exit 2; }
timeout -k 10 100 "$program"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
