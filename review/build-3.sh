#!/bin/sh
# Checks the stand-ins and scripts of the cases 11 to 15. They are plain JavaScript
# that Node.js runs as it is, without packages, so that nothing has to be built.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
