#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script: 1 the rule was broken, 0 it held, 2 the
# case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mapleslip ] && [ -x target/review/standin ] || { echo "build first: the command of deploy/service.toml, then review/build.sh"; exit 2; }
timeout -k 1 118 target/review/standin failed-once review/3/record.txt
rc=$?
[ "$rc" -le 2 ] || rc=2
exit "$rc"
