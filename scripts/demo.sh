#!/usr/bin/env bash
# Runs a local fleet: demo.sh run | up | down.
#   run   starts the fleet and sends mixed traffic to it, while a primary and an instance
#         fail and another instance is stopped as planned. Prints one JSON object. The exit
#         status is 0 only if no guarantee was violated.
#   up    starts the fleet, prints its addresses, accounts and keys, and leaves it running.
#   down  stops the fleet that up started.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

SEED=${SEED:-1}
DURATION=${DURATION:-30}

# inject_failures: injects the failures of a run: the first 8 s after the start, and each further
# event 4 s after the one before.
inject_failures() {
	local primary
	sleep 8
	primary=$(primary_of 0)
	log "killing backend server $primary, the primary of the first service"
	set_fault 0 "$primary" '{"killed":true}'
	sleep 4
	log "killing entry-3 and starting it again"
	stop_process entry-3 KILL
	start_entry 3
	sleep 4
	log "restarting backend server $primary"
	set_fault 0 "$primary" '{"killed":false}'
	sleep 4
	log "stopping entry-5 with a planned stop and starting it again"
	stop_process entry-5 TERM
	start_entry 5
}

run() {
	local status=0
	trap kill_all EXIT
	start_fleet
	log "fleet is ready; sending traffic for ${DURATION} s with seed $SEED"
	inject_failures &
	local failures_pid=$!
	# The scale shortens the alert windows of one hour and of five minutes to 18 s and 1.5 s, so
	# that they fit into the run.
	bin/pomelofork report burn --instances "$(admin_addresses)" --every 1s --for "${DURATION}s" --scale 0.005 \
		--output json --picture "$RUN_DIR/burn.png" >"$RUN_DIR/burn.json" 2>"$RUN_DIR/burn.log" &
	local report_pid=$!
	bin/pomelo-load run --config "$CONFIG" --entries "$(entry_addresses)" --seed "$SEED" \
		--duration "${DURATION}s" --out "$RUN_DIR/result.json" --history "$RUN_DIR/history.json" || status=$?
	wait "$failures_pid"
	wait "$report_pid" || log "the report on error budgets failed; see $RUN_DIR/burn.log"
	return "$status"
}

up() {
	local id rate burst
	start_fleet
	echo "entries:   $(entry_addresses | tr , ' ')"
	echo "platform:  http://$PLATFORM"
	echo "services:  $(layout services | cut -d' ' -f2 | tr '\n' ' ')"
	echo "accounts:"
	layout accounts | while read -r id rate burst; do
		echo "  $id  key demo-$id  $rate/s, burst $burst"
	done
	read -r id _ < <(layout accounts)
	echo "try:       PGPASSWORD=demo-$id psql -h 127.0.0.1 -p 7000 -U $id $(layout services | head -1 | cut -d' ' -f2)"
	echo "stop:      make demo-down"
}

case "${1:-run}" in
run) run ;;
up) up ;;
down) kill_all ;;
*)
	echo "usage: demo.sh run|up|down" >&2
	exit 2
	;;
esac
