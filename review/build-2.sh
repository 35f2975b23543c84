#!/bin/sh
# The scripts of cases 6 to 10 start the deployed programs, and stand-ins that are plain modules of Node in review/lib-2, which need
# no build. This checks that they can be read. The build of deploy/system.toml has run before; nothing is fetched here.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
