#!/usr/bin/env bash
# Checks the stand-ins and the scripts of the cases 6 to 10, which run from their sources; the build of the deploy file has
# installed what they need.
set -eu
cd "$(dirname "$0")/.."
for folder in review/lib-2 review/[6-9] review/10; do
  if [ -f "$folder/tsconfig.json" ]; then node node_modules/typescript/bin/tsc --noEmit -p "$folder"; fi
done
