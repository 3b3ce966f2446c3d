#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Run it after the build of the deploy
# file; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/lab
