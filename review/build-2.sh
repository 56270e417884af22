#!/bin/sh
# Builds every stand-in that the scripts of the second review start. Needs Go, and nothing beyond its standard library.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && exec go build -o bin/review-rig2 ./review/rig2
