#!/bin/bash
# Runs this case; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs it without the disruption. It writes record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/cobalt-edge ] || [ ! -x bin/review-standin ]; then
  echo "bin/cobalt-edge or bin/review-standin is missing: run the build of deploy/balancer.toml and review/build.sh"
  exit 2
fi
exec bin/review-standin restart review/3 .
