#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts into target/. Uses the Go toolchain and its
# standard library only. The system itself is built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/harness"
GOWORK=off go build -trimpath -o ../../target/review-harness .
