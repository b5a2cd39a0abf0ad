#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/review-2 ./review/kit-2
