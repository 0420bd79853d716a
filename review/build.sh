#!/bin/sh
# The stand-ins are plain JavaScript without dependencies; this checks that they
# can be loaded. The scheduler is built by the line `build` of the deploy file.
set -eu
cd "$(dirname "$0")/.."
[ -f target/cowslipferry.cjs ] || sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
for file in review/lib/*.mjs review/[1-5]/*.mjs; do node --check "$file"; done
