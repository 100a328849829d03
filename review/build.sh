#!/bin/bash
# Builds the stand-ins of the cases into bin/, after the build of the deploy file. It needs no network: the stand-ins
# are a module of their own that uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../bin
cd standin
GOWORK=off GOPROXY=off GOFLAGS= go build -o ../../bin/review-standin .
