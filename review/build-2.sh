#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review2. The processes under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/ ./review/harness2/...
