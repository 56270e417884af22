#!/bin/sh
# Builds what the cases of the review start, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[1-9]; do
  go build -o "review/bin/case${case#review/}" "./$case"
done
