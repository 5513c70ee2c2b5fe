#!/bin/sh
# Builds the stand-ins of all cases. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review-standin .
