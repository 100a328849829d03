#!/bin/sh
# Plays the case; see claim.txt. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same
# without the disruption. Build first: the build command of deploy/balancer.toml, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -n "$run" ] && [ -x bin/review2-play ] || exit 2
exec bin/review2-play -case resume-forget -record review/10/record.txt -run "$run" -trouble=$trouble
