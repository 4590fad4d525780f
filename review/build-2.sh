#!/bin/sh
# Builds the stand-ins of the second review with the standard library alone, without a network.
cd "$(dirname "$0")/standins-2" || exit 2
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-2/standins .
