#!/usr/bin/env bash
# Plays days with the users' bench, first with every mechanism and then with each one switched off,
# and prints the mean worth of the days for each site: ablation.sh BENCH DAYS [MECHANISM...]
# BENCH is the bench's program. Each line of the file DAYS is "SITE|DAY|further arguments of run".
# Without a MECHANISM all of core/trial are switched off in turn. The days are played in a copy of
# the working tree, whose deploy file names the mechanism; the journal's entries are copied back.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
	echo "usage: ablation.sh BENCH DAYS [MECHANISM...]" >&2
	exit 2
fi
JOBS=${JOBS:-3}
root=$PWD
bench=$(realpath "$1")
days=$(realpath "$2")
shift 2
mechanisms=("$@")
if [ ${#mechanisms[@]} -eq 0 ]; then
	mapfile -t mechanisms < <(sed -n 's/^\t[A-Z][A-Za-z]* Switch = "\([a-z_]*\)"$/\1/p' core/trial/trial.go)
fi
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -co --exclude-standard | grep -v '^journal/' | tar -cf - -T - | tar -xf - -C "$copy"
cd "$copy"
git init -q
git add -A
git -c user.name=ablation -c user.email=ablation@localhost commit -qm copy
mkdir -p journal

# play prints "SITE DAY WORTH WINDOWS" for one line of the file.
play() {
	IFS='|' read -r site day arguments <<<"$1"
	# The further arguments are words.
	# shellcheck disable=SC2086
	"$bench" run "$site" "$day" $arguments --why "ablation: $mechanism" 2>/dev/null |
		awk -v site="$(basename "$site" .toml)" -v day="$day" '/^worth / { windows = $0; sub(/.*worst windows /, "", windows); sub(/ .*/, "", windows); print site, day, $2, windows; exit }'
}
export -f play
export bench mechanism

for mechanism in none "${mechanisms[@]}"; do
	run="target/pomelofork platform"
	if [ "$mechanism" != none ]; then
		run="$run --disable=$mechanism"
	fi
	sed -i "s|^run = .*|run = \"$run\"|" deploy/system.toml
	"$bench" build >/dev/null
	xargs -P "$JOBS" -d '\n' -I{} bash -c 'play "{}"' <"$days" | sort | tee "$copy/last" |
		awk -v mechanism="$mechanism" '{ n[$1]++; worth[$1] += $3; windows[$1] += $4 }
			END { for (site in n) printf "%-20s %-24s days %d worth %.4f windows %.3f\n", mechanism, site, n[site], worth[site] / n[site], windows[site] / n[site] }' | sort
	sed "s/^/# $mechanism /" "$copy/last"
done
cp -n journal/*.json "$root/journal/"
