#!/bin/sh
# Builds the stand-ins of the second review into bin/. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/standin2
GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../bin/review2-play .
