#!/bin/sh
# Builds the binary and runs a small deployment on this machine.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e node_modules/.package-lock.json ]; then
  echo "installing dependencies"
  npm ci --no-audit --no-fund
fi
echo "building dist/cowslipferry"
node scripts/build.mjs 2>&1 | grep -v "section name" || true
test -x dist/cowslipferry
exec node --import tsx scripts/quickstart.ts "$@"
