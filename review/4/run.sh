#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mulberryspool ] && [ -x target/review-harness ] || { echo "build first"; exit 2; }
exec target/review-harness planned-stop review/4/record.txt
