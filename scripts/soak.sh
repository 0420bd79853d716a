#!/bin/sh
# Plays random faults against real scheduler processes; logs of failed seeds go to bench/out/soak/.
set -eu
cd "$(dirname "$0")/.."
. scripts/install.sh
exec node --import tsx testing/soak/main.ts "$@"
