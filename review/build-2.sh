#!/usr/bin/env bash
# Builds the stand-ins of review/4, review/5 and review/7. It needs no network beyond what the build of the
# deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/ ./review/standin2
