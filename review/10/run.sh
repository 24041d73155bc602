#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0, which leaves
# the disruption out, is read by the program that is started (harness-2/system.go, newSystem).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mulberryspool ] && [ -x target/review-2 ] || exit 2
exec target/review-2 watchers review/10
