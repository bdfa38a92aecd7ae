#!/bin/sh
# Bundles the scenarios and their stand-ins into target/review.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/[1-5]/*.ts --bundle --platform=node --target=node20 \
  --format=esm --out-extension:.js=.mjs --outbase=review --outdir=target/review \
  --log-level=warning
