#!/usr/bin/env bash
# Builds the programs of the review, as review/build.sh does, and plays the cases that are named.
#   scripts/review.sh 2 3 4
#   TROUBLE=0 scripts/review.sh 1 5     without their disruptions
# Fails if a case cannot run or breaks its rule.
set -euo pipefail
cd "$(dirname "$0")/.."

sh review/build.sh
# The cases write their records beside their scripts, which are in version control.
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -R review "$copy/review"
rm -f "$copy"/review/*/record.txt
ln -s "$PWD/target" "$copy/target"
for case in "$@"; do
  status=0
  sh "$copy/review/$case/run.sh" || status=$?
  case $status in
    0) echo "review/$case: passed" ;;
    1) echo "review/$case: the rule was broken" ;;
    *) echo "review/$case: the case could not run, exit status $status" ;;
  esac
  if [ "$status" -ne 0 ]; then
    tail -n 20 "$copy/review/$case/record.txt" >&2 || true
    exit 1
  fi
done
