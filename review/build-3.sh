#!/bin/sh
# Builds the programs of the cases 11 to 15 into target/review-3, beside those of the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/harness3/...
