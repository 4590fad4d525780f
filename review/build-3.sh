#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 to target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/standins-3 .
