#!/usr/bin/env bash
# Runs a local fleet: demo.sh run | up | down.
#   run   starts it, drives mixed traffic while a primary and an instance fail and
#         another instance is stopped as planned, and prints one JSON object.
#         Exit status 0 only when nothing that must hold was seen broken.
#   up    starts it and leaves it running; prints addresses, accounts and keys.
#   down  stops what up started.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

SEED=${SEED:-1}
DURATION=${DURATION:-30}

# failures: what goes wrong during the run, in seconds after its start.
failures() {
	local primary
	sleep 8
	primary=$(primary_of 0)
	say "killing backend server $primary, the primary of the first service"
	fault 0 "$primary" '{"killed":true}'
	sleep 4
	say "killing entry-3 and starting a new one in its place"
	end entry-3 KILL
	start_entry 3
	sleep 4
	say "bringing $primary back"
	fault 0 "$primary" '{"killed":false}'
	sleep 4
	say "stopping entry-5 as planned and starting it again"
	end entry-5 TERM
	start_entry 5
}

run() {
	local status=0
	trap end_all EXIT
	fleet_up
	say "fleet is ready; driving it for ${DURATION} s with seed $SEED"
	failures &
	local failing=$!
	# The windows of an hour and of five minutes shrink to 18 s and 1.5 s.
	bin/pomelofork report burn --instances "$(admins)" --every 1s --for "${DURATION}s" --scale 0.005 \
		--output json --picture "$RUN_DIR/burn.png" >"$RUN_DIR/burn.json" 2>"$RUN_DIR/burn.log" &
	local burning=$!
	bin/pomelo-load run --config "$CONFIG" --entries "$(entries)" --seed "$SEED" \
		--duration "${DURATION}s" --out "$RUN_DIR/result.json" --history "$RUN_DIR/history.json" || status=$?
	wait "$failing"
	wait "$burning" || say "the report on error budgets failed, see $RUN_DIR/burn.log"
	return "$status"
}

up() {
	local id rate burst
	fleet_up
	echo "entries:   $(entries | tr , ' ')"
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
down) end_all ;;
*)
	echo "usage: demo.sh run|up|down" >&2
	exit 2
	;;
esac
