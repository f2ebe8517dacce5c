#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
standin=target/review-2/standin
program=target/release/celerywinchd
[ -x "$standin" ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$standin" cancelled-job "$program" "$folder" review/tried-2/cancelled-job/record.txt
