#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/sapphiregauge ] || [ ! -x target/review-standin ]; then
  echo "not run: the build of deploy/system.toml and review/build.sh come first" >&2
  exit 2
fi
exec target/review-standin 3 target/sapphiregauge review/3/record.txt
