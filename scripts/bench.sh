#!/bin/sh
# Runs one experiment of the load tool; figures and reports go to bench/out/.
set -eu
cd "$(dirname "$0")/.."
. scripts/install.sh
if [ ! -x dist/cowslipferry ] || [ -n "$(find src -newer dist/cowslipferry -name '*.ts' | head -1)" ]; then
  echo "building dist/cowslipferry"
  node scripts/build.mjs 2>&1 | grep -v "section name" || true
fi
exec node --import tsx bench/main.ts "$@"
