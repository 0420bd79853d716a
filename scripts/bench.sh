#!/bin/sh
# Runs one benchmark and writes results and reports to bench/out/. Rebuilds the binary if a source file is newer.
set -eu
cd "$(dirname "$0")/.."
. scripts/install.sh
if [ ! -x dist/cowslipferry ] || [ -n "$(find src -newer dist/cowslipferry -name '*.ts' | head -1)" ]; then
  echo "building dist/cowslipferry"
  node scripts/build.mjs 2>&1 | grep -v "section name" || true
fi
exec node --import tsx bench/main.ts "$@"
