#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
go build -buildvcs=false -o target/ ./standin
