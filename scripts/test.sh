#!/bin/sh
# Runs every check: format, lint, types, tests, build, smoke test of the binary.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  echo "installing dependencies"
  npm ci --no-audit --no-fund
fi
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
node scripts/run_tests.mjs
