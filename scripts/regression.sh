#!/usr/bin/env bash
# Plays the quick days of some deployments with the users' bench and prints the worth of each day
# beside the committed one, from docs/notes/regression.tsv: regression.sh BENCH SITE...
# BENCH is the bench's program, and each SITE a site file. It exits with 1 if a gate failed or a
# day lost more than the tolerance.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
	echo "usage: regression.sh BENCH SITE..." >&2
	exit 2
fi
TOLERANCE=${TOLERANCE:-0.03}
JOBS=${JOBS:-3}
bench=$1
shift
status=0
for site in "$@"; do
	name=$(basename "$site" .toml)
	log=$(mktemp)
	"$bench" score "$site" --quick --jobs "$JOBS" --why "regression" >"$log"
	# A day's line is: name, machines, score, worth, ...
	awk -v site="$name" -v tolerance="$TOLERANCE" '
		NR == FNR { if ($1 == site) committed[$2] = $3; next }
		$2 ~ /^[0-9]+\/[0-9]+$/ {
			before = ($1 in committed) ? committed[$1] : "-"
			mark = (before != "-" && $4 < before - tolerance) ? "  LOWER" : ""
			if (mark != "") lower = 1
			printf "%-24s %-12s %6s %6s%s\n", site, $1, before, $4, mark
		}
		/^GATE/ || /^rules broken/ { print site ": " $0 }
		/^GATE failed/ { lower = 1 }
		END { exit lower }
	' docs/notes/regression.tsv "$log" || status=1
	rm -f "$log"
done
exit $status
