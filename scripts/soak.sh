#!/bin/sh
# Runs real scheduler processes under random faults; writes logs of failed seeds to bench/out/soak/.
set -eu
cd "$(dirname "$0")/.."
. scripts/install.sh
exec node --import tsx testing/soak/main.ts "$@"
