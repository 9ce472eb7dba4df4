#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review/. The daemon itself is built with the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[1-5]; do
	if [ -f "$case/main.go" ]; then
		go build -o "target/review/case-${case##*/}" "./$case"
	fi
done
