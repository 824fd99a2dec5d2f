#!/usr/bin/env bash
# Runs the experiments on whole fleets and writes their results to out/measure:
# measure.sh [SCENARIO...]. Without names it runs them all, for both deployments, and
# the path and the comparisons of single decisions too.
# Every scenario sends the same seeded load to a fresh fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN_DIR=out/measure/fleet
source scripts/lib.sh

SEED=${SEED:-1}
DURATION=${DURATION:-20}
DEPLOYMENTS=${DEPLOYMENTS:-"slamka levesque"}
SCENARIOS=${*:-"calm fresh_only overload store_outage primary_cut primary_killed domain_lost"}

# What goes wrong in each scenario, in seconds after the start of the load.
event_calm() { :; }
event_fresh_only() { :; }
event_overload() { :; }
event_store_outage() {
	sleep 3
	curl -sf -X POST "http://$PLATFORM/control/faults" -d '{"outage":true}' >/dev/null
}
# Each service's primary is lost in turn for six seconds.
lose_primaries() {
	local n primary
	sleep 1
	for n in 0 1 2; do
		sleep 2
		primary=$(primary_of "$n")
		say "$1 $primary"
		fault "$n" "$primary" "{\"$1\":true}"
		(sleep 6 && fault "$n" "$primary" "{\"$1\":false}") &
	done
	wait
}
event_primary_cut() { lose_primaries cut; }
event_primary_killed() { lose_primaries killed; }
event_domain_lost() {
	local k id service address domain lost n
	sleep 4
	lost=$(domain_of 0)
	say "losing failure domain $lost"
	for k in $(seq 0 $((INSTANCES - 1))); do
		if [ "$(domain_of "$k")" = "$lost" ]; then end "entry-$k" KILL; fi
	done
	n=-1
	service_before=
	while read -r id service address domain; do
		if [ "$service" != "$service_before" ]; then n=$((n + 1)); fi
		service_before=$service
		# The stand-in numbers the servers of a group by their port.
		if [ "$domain" = "$lost" ]; then fault "$n" "$service-${address: -1}" '{"cut":true}'; fi
	done < <(layout servers)
}

# flags_of SCENARIO: more flags of the load.
flags_of() {
	local largest
	largest=$(layout accounts | sort -k2,2nr -s | head -1 | cut -d' ' -f1)
	case "$1" in
	# The share is half of the rate, so ten times the offer is five times the rate.
	overload) echo "--factor $largest=10" ;;
	fresh_only) echo "--fresh-only" ;;
	esac
}

# measure DEPLOYMENT SCENARIO
measure() {
	local status=0 out=out/measure/$1-$2.json events
	say "$1, $2"
	fleet_up
	"event_$2" &
	events=$!
	# shellcheck disable=SC2046 # the flags are meant to be split
	bin/pomelo-load run --config "$CONFIG" --entries "$(entries)" --seed "$SEED" --duration "${DURATION}s" \
		--platform "http://$PLATFORM" --out "$out" $(flags_of "$2") >/dev/null || status=$?
	wait "$events" || true
	end_all
	if [ "$status" -ne 0 ]; then
		say "$1, $2: exit status $status, see $out"
		mkdir -p "out/measure/broken-$1-$2" && cp "$RUN_DIR"/*.log "out/measure/broken-$1-$2/"
		failed=1
	fi
}

failed=0
trap end_all EXIT
for deployment in $DEPLOYMENTS; do
	CONFIG=examples/$deployment.json
	CONNECT_COST=10ms
	[ "$deployment" = levesque ] && CONNECT_COST=30ms
	for scenario in $SCENARIOS; do measure "$deployment" "$scenario"; done
done
if [ $# -eq 0 ]; then
	scripts/capacity.sh speed
	bin/pomelo-load parts --out out/parts
fi
bin/pomelo-load measures --runs out/measure --parts out/parts --speed out/capacity/speed.json \
	--out docs/MEASURES.md --json docs/measures.json
exit "$failed"
