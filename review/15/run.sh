#!/usr/bin/env bash
# Runs the case. Exit status: 1 rule broken, 0 held, 2 could not run. TROUBLE=0: without the trouble.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standins-3 ] && [ -x target/peridot ] || { echo "build first: the deploy file's build, then review/build-3.sh"; exit 2; }
PERIDOT="$PWD/target/peridot" exec target/standins-3 15 "$PWD/review/15"
