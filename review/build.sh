#!/bin/sh
# Builds what the scripts of the cases start beside the deployed programs: the project's stand-ins and launcher.
# The build of deploy/system.toml has run before, and has installed the packages; nothing is fetched here.
set -e
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -b
