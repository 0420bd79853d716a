# Sourced by the other scripts: installs dependencies if they are missing or older than the lock file.
# Skipped if node_modules is a symbolic link: `npm ci` would empty the target that other checkouts share.
if [ ! -L node_modules ]; then
  if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
    echo "installing dependencies"
    npm ci --no-audit --no-fund
  fi
fi
