#!/bin/sh
# Builds the binary and runs a small local deployment.
set -eu
cd "$(dirname "$0")/.."
. scripts/install.sh
echo "building dist/cowslipferry"
node scripts/build.mjs 2>&1 | grep -v "section name" || true
test -x dist/cowslipferry
exec node --import tsx scripts/quickstart.ts "$@"
