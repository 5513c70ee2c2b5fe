#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It runs after the build of the
# deploy file, from anywhere, and needs no network once the modules of go.mod are there.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin3 ./review/standin3
