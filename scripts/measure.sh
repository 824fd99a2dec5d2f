#!/usr/bin/env bash
# Runs experiments on whole fleets, writes their results to out/measure and then writes
# docs/MEASURES.md from all results: measure.sh [SCENARIO...].
# Without arguments it runs all scenarios for both deployments, then the comparison of
# statements through an instance with direct ones, and the comparisons of single policies with
# simpler ones. Every scenario sends the same seeded load to a newly started fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN_DIR=out/measure/fleet
source scripts/lib.sh

SEED=${SEED:-1}
DURATION=${DURATION:-20}
DEPLOYMENTS=${DEPLOYMENTS:-"slamka levesque"}
SCENARIOS=${*:-"calm fresh_only overload store_outage primary_cut primary_killed domain_lost"}

# faults_SCENARIO: injects the faults of a scenario. It is started together with the load.
faults_calm() { :; }
faults_fresh_only() { :; }
faults_overload() { :; }
faults_store_outage() {
	sleep 3
	curl -sf -X POST "http://$PLATFORM/control/faults" -d '{"outage":true}' >/dev/null
}
# fail_primaries FAULT: sets a fault, cut or killed, at the primary of each service, one service
# every 2 s, and clears it after 6 s.
fail_primaries() {
	local n primary
	sleep 1
	for n in 0 1 2; do
		sleep 2
		primary=$(primary_of "$n")
		log "setting fault $1 at backend server $primary"
		set_fault "$n" "$primary" "{\"$1\":true}"
		(sleep 6 && set_fault "$n" "$primary" "{\"$1\":false}") &
	done
	wait
}
faults_primary_cut() { fail_primaries cut; }
faults_primary_killed() { fail_primaries killed; }
faults_domain_lost() {
	local k id service address domain failed_domain n
	sleep 4
	failed_domain=$(domain_of 0)
	log "killing the instances and cutting off the backend servers of failure domain $failed_domain"
	for k in $(seq 0 $((INSTANCES - 1))); do
		if [ "$(domain_of "$k")" = "$failed_domain" ]; then stop_process "entry-$k" KILL; fi
	done
	n=-1
	previous_service=
	while read -r id service address domain; do
		if [ "$service" != "$previous_service" ]; then n=$((n + 1)); fi
		previous_service=$service
		# The emulator names the servers of a group SERVICE-0 to SERVICE-2 in the order of their
		# ports. In the example configurations the last digit of the port is that number.
		if [ "$domain" = "$failed_domain" ]; then set_fault "$n" "$service-${address: -1}" '{"cut":true}'; fi
	done < <(layout servers)
}

# flags_of SCENARIO: prints the flags that a scenario adds to the load command.
flags_of() {
	local largest
	largest=$(layout accounts | sort -k2,2nr -s | head -1 | cut -d' ' -f1)
	case "$1" in
	# Accounts send half of their rate by default, so a factor of 10 gives 5 times the rate.
	overload) echo "--factor $largest=10" ;;
	fresh_only) echo "--fresh-only" ;;
	esac
}

# measure DEPLOYMENT SCENARIO: runs one scenario on a new fleet. If the run fails or violates a
# guarantee, it copies the logs to out/measure/broken-DEPLOYMENT-SCENARIO.
measure() {
	local status=0 out=out/measure/$1-$2.json faults_pid
	log "measuring deployment $1, scenario $2"
	start_fleet
	"faults_$2" &
	faults_pid=$!
	# shellcheck disable=SC2046 # the flags must be split into words
	bin/pomelo-load run --config "$CONFIG" --entries "$(entry_addresses)" --seed "$SEED" --duration "${DURATION}s" \
		--platform "http://$PLATFORM" --out "$out" $(flags_of "$2") >/dev/null || status=$?
	wait "$faults_pid" || true
	kill_all
	if [ "$status" -ne 0 ]; then
		log "deployment $1, scenario $2: the load command ended with exit status $status; see $out"
		mkdir -p "out/measure/broken-$1-$2" && cp "$RUN_DIR"/*.log "out/measure/broken-$1-$2/"
		exit_status=1
	fi
}

exit_status=0
trap kill_all EXIT
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
exit "$exit_status"
