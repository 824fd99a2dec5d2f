#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 plays it without
# the disruption, and ONLY=crash with the crash and the lag alone. Needs review/build.sh and the deploy file's build.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-standin ] && [ -x ../../target/pomelofork ] || exit 2
exec ../../target/review-standin -case lapsed-replica -program ../../target/pomelofork -record record.txt
