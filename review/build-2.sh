#!/bin/sh
# Builds what the cases of the second review start, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
  go build -o "review/bin/case$case" "./review/$case"
done
