#!/bin/sh
# Builds the stand-ins of the cases (review/casekit). The project's programs are built by the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o review/bin/ ./review/casekit
