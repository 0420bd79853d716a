# Sourced by the other scripts: installs dependencies when they are missing or older than the lock file.
# A linked node_modules belongs to another checkout; `npm ci` would empty it for all that share it.
if [ ! -L node_modules ]; then
  if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
    echo "installing dependencies"
    npm ci --no-audit --no-fund
  fi
fi
