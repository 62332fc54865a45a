#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and up.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -buildvcs=false -o ../../target/review-rig .
