#!/bin/sh
# Builds the stand-ins of the third review. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/harness-3"
go build -trimpath -o ../../target/review-3/harness3 .
