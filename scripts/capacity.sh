#!/usr/bin/env bash
# Measures how the cost of an instance grows with the numbers of instances, services, client
# accounts and idle connections and with the load: capacity.sh [PART...].
# Each run writes one file to out/capacity, and the part "page" writes docs/CAPACITY.md from
# these files. Parts: slopes instances services accounts load speed page. Default: all.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN_DIR=out/capacity/fleet
source scripts/lib.sh

OUT=out/capacity
SAMPLE=${SAMPLE:-10s}
PARTS=${*:-"slopes instances services accounts load speed page"}

# write_config FLAGS...: writes the configuration with which the next fleets are started. The
# flags are those of pomelo-load config.
write_config() {
	CONFIG=$OUT/config.json
	bin/pomelo-load config "$@" >"$CONFIG"
}

# measure_idle NAME: measures a fleet without callers.
measure_idle() {
	log "measuring a fleet without callers: $1"
	start_fleet
	bin/pomelo-load sample --dir "$RUN_DIR" --for "$SAMPLE" --platform "http://$PLATFORM" >"$OUT/$1.json"
	kill_all
}

part_slopes() { bin/pomelo-load slopes >"$OUT/slopes.json"; }

part_instances() {
	local n
	# There are half as many services as instances, so that each instance is the gateway of
	# one service. With more than 32 members, an instance exchanges heartbeats with a few
	# neighbours only, as it would in a fleet of 780.
	for n in 36 56 76 96; do
		write_config --services $((n / 2)) --first-port 8500
		INSTANCES=$n measure_idle "instances-$n"
	done
}

part_services() {
	local n
	for n in 1 4 8 12; do write_config --services "$n" --first-port 8500 && measure_idle "services-$n"; done
}

part_accounts() {
	local n
	for n in 8 500 2000; do write_config --accounts "$n" && measure_idle "accounts-$n"; done
}

part_load() {
	local rate
	for rate in 50 100 200; do
		write_config --rate "$rate" --burst "$rate"
		log "measuring a load of 8 client accounts with a rate of $rate units per second each"
		start_fleet
		bin/pomelo-load run --config "$CONFIG" --entries "$(entry_addresses)" --share 0.8 --duration 20s \
			--platform "http://$PLATFORM" --out "$OUT/run-$rate.json" >/dev/null &
		sleep 6
		bin/pomelo-load sample --dir "$RUN_DIR" --for "$SAMPLE" --platform "http://$PLATFORM" >"$OUT/load-$rate.json"
		wait $! || log "the run at rate $rate violated a guarantee or failed; see $OUT/run-$rate.json"
		kill_all
	done
}

part_speed() {
	write_config --rate 1000000 --burst 1000000 --slots 64 --connections 200
	STATEMENT_COST=0s
	CONNECT_COST=0s
	log "measuring statements through an instance and idle connections"
	start_fleet
	bin/pomelo-load speed --config "$CONFIG" --entries "$(entry_addresses)" --dir "$RUN_DIR" >"$OUT/speed.json"
	kill_all
}

part_page() { bin/pomelo-load capacity --in "$OUT" --out docs/CAPACITY.md; }

mkdir -p "$OUT"
trap kill_all EXIT
for part in $PARTS; do "part_$part"; done
