#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 plays it without
# the disruption. Needs review/build.sh and the deploy file's build.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-standin ] && [ -x ../../target/pomelofork ] || exit 2
exec ../../target/review-standin -case lost-machines -program ../../target/pomelofork -record record.txt
