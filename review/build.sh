#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../bin/standin .
