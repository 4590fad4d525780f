#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. It needs target/peridot, as the deploy file builds it, and review/build.sh.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")"
[ -x ../target/standin ] || { echo "review/build.sh has not run" >&2; exit 2; }
exec ../target/standin last-tenant . ../..
