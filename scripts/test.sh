#!/bin/sh
# Runs all checks: format, lint, types, build, smoke test of the binary, tests.
set -eu
cd "$(dirname "$0")/.."
. scripts/install.sh
echo "checking format"
npx deno fmt --check --quiet
echo "linting"
npx deno lint --quiet
echo "checking types"
npx tsc -p .
echo "building the binary"
node scripts/build.mjs
echo "testing the binary"
node --import tsx scripts/smoke.ts
echo "running tests"
TESTED_BINARY=dist/cowslipferry node scripts/run_tests.mjs
