#!/usr/bin/env bash
# Measures how the cost of an instance grows with the fleet, the services, the
# client accounts, the load and the idle connections. Writes one file for each run
# to out/capacity, and then docs/CAPACITY.md: capacity.sh [PART...].
# Parts: slopes instances services accounts load speed page.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN_DIR=out/capacity/fleet
source scripts/lib.sh

OUT=out/capacity
SAMPLE=${SAMPLE:-10s}
PARTS=${*:-"slopes instances services accounts load speed page"}

# with FLAGS...: makes the configuration of the next fleets.
with() {
	CONFIG=$OUT/config.json
	bin/pomelo-load config "$@" >"$CONFIG"
}

# idle NAME: measures a fleet that nobody calls.
idle() {
	say "measuring $1"
	fleet_up
	bin/pomelo-load sample --dir "$RUN_DIR" --for "$SAMPLE" --platform "http://$PLATFORM" >"$OUT/$1.json"
	end_all
}

part_slopes() { bin/pomelo-load slopes >"$OUT/slopes.json"; }

part_instances() {
	local n
	# Half as many services as instances, so that each instance is one gateway.
	# Above 32 members an instance asks few neighbours, as it would among 780.
	for n in 36 56 76 96; do
		with --services $((n / 2)) --first-port 8500
		INSTANCES=$n idle "instances-$n"
	done
}

part_services() {
	local n
	for n in 1 4 8 12; do with --services "$n" --first-port 8500 && idle "services-$n"; done
}

part_accounts() {
	local n
	for n in 8 500 2000; do with --accounts "$n" && idle "accounts-$n"; done
}

part_load() {
	local rate
	for rate in 50 100 200; do
		with --rate "$rate" --burst "$rate"
		say "measuring a load of 8 accounts at $rate units a second"
		fleet_up
		bin/pomelo-load run --config "$CONFIG" --entries "$(entries)" --share 0.8 --duration 20s \
			--platform "http://$PLATFORM" --out "$OUT/run-$rate.json" >/dev/null &
		sleep 6
		bin/pomelo-load sample --dir "$RUN_DIR" --for "$SAMPLE" --platform "http://$PLATFORM" >"$OUT/load-$rate.json"
		wait $! || say "the run at rate $rate broke something, see $OUT/run-$rate.json"
		end_all
	done
}

part_speed() {
	with --rate 1000000 --burst 1000000 --slots 64 --connections 200
	STATEMENT_COST=0s
	CONNECT_COST=0s
	say "measuring the path and idle connections"
	fleet_up
	bin/pomelo-load speed --config "$CONFIG" --entries "$(entries)" --dir "$RUN_DIR" >"$OUT/speed.json"
	end_all
}

part_page() { bin/pomelo-load capacity --in "$OUT" --out docs/CAPACITY.md; }

mkdir -p "$OUT"
trap end_all EXIT
for part in $PARTS; do "part_$part"; done
