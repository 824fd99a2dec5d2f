# Functions that start and stop the processes of a local fleet. The other scripts source this
# file, with the root of the repository as the working directory. The process id of each
# started process is written to $RUN_DIR/NAME.pid, and only processes that have such a file
# are ever sent a signal.

RUN_DIR=${RUN_DIR:-out/demo}
CONFIG=${CONFIG:-examples/slamka.json}
INSTANCES=${INSTANCES:-7}
PLATFORM=127.0.0.1:7400
CONNECT_COST=${CONNECT_COST:-10ms}
STATEMENT_COST=${STATEMENT_COST:-1ms}
# How long to wait after all instances are ready, in seconds. None is needed, since an instance
# reports ready only when its shares of the accounts' rates can be used.
SETTLE=${SETTLE:-0}
# The secret with which instances authenticate to each other. The default is for local fleets
# only; a real fleet sets its own secret in the environment.
export POMELOFORK_FLEET_SECRET=${POMELOFORK_FLEET_SECRET:-demo-fleet}

# layout PART: prints a part of the configuration. See pomelo-load layout --help.
layout() { bin/pomelo-load layout "$1" --config "$CONFIG"; }

# domain_of K: prints the failure domain of instance entry-K. The instances are assigned to the
# failure domains of the backend servers in rotation.
domain_of() {
	local domains
	mapfile -t domains < <(layout servers | cut -d' ' -f4 | sort -u)
	echo "${domains[$(($1 % ${#domains[@]}))]}"
}

# log MESSAGE: prints a message with the time to standard error.
log() { echo "$(date +%T) $*" >&2; }

# start_process NAME COMMAND...: runs a command in the background, with its output in
# $RUN_DIR/NAME.log.
start_process() {
	local name=$1
	shift
	"$@" >>"$RUN_DIR/$name.log" 2>&1 </dev/null &
	echo $! >"$RUN_DIR/$name.pid"
	disown $!
}

# is_running NAME: succeeds if the process that was started as NAME still runs.
is_running() {
	local pid
	pid=$(cat "$RUN_DIR/$1.pid" 2>/dev/null) || return 1
	# After the process has ended, its id may be reused by another program. All programs of
	# the fleet are started from bin/.
	[[ "$(tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" || true)" == bin/* ]] 2>/dev/null
}

# wait_exit NAME SECONDS: waits until a process has ended. It fails if the process still runs
# after that time.
wait_exit() {
	local tries_left=$(($2 * 10))
	while is_running "$1"; do
		[ "$tries_left" -eq 0 ] && return 1
		sleep 0.1
		tries_left=$((tries_left - 1))
	done
	rm -f "$RUN_DIR/$1.pid"
}

# send_signal NAME SIGNAL: sends a signal to a process if it still runs.
send_signal() {
	if is_running "$1"; then kill -s "$2" "$(cat "$RUN_DIR/$1.pid")"; fi
}

# stop_process NAME [SIGNAL]: sends a signal, TERM by default, and waits until the process has
# ended. If it still runs after 40 s, it is killed. That is longer than a planned stop of an
# instance may take, which is 30 s, the default of serve --drain-timeout.
stop_process() {
	send_signal "$1" "${2:-TERM}"
	if ! wait_exit "$1" 40; then
		log "$1 still runs 40 s after the signal ${2:-TERM}; killing it"
		send_signal "$1" KILL
		wait_exit "$1" 5
	fi
}

# kill_all: kills every process that was started under $RUN_DIR. There is no planned stop,
# because a whole fleet that stops has no instance to hand its work over to.
kill_all() {
	local file names=()
	for file in "$RUN_DIR"/*.pid; do
		[ -e "$file" ] && names+=("$(basename "$file" .pid)")
	done
	for name in "${names[@]}"; do send_signal "$name" KILL; done
	for name in "${names[@]}"; do wait_exit "$name" 5 || log "$name still runs 5 s after the signal KILL"; done
	return 0
}

# start_entry K: starts instance entry-K.
start_entry() {
	local k=$1
	start_process "entry-$k" bin/pomelofork serve --id "entry-$k" \
		--failure-domain "$(domain_of "$k")" \
		--caller-listen "127.0.0.1:$((7000 + k))" --link-listen "127.0.0.1:$((7100 + k))" \
		--peer-listen "127.0.0.1:$((7200 + k))" --admin-listen "127.0.0.1:$((7300 + k))" \
		--platform "http://$PLATFORM"
}

# entry_addresses: prints the addresses of all instances for callers, separated by commas.
entry_addresses() {
	local k list=
	for k in $(seq 0 $((INSTANCES - 1))); do list+=",127.0.0.1:$((7000 + k))"; done
	echo "${list#,}"
}

# admin_addresses: prints the administration addresses of all instances, separated by commas.
admin_addresses() {
	local k list=
	for k in $(seq 0 $((INSTANCES - 1))); do list+=",127.0.0.1:$((7300 + k))"; done
	echo "${list#,}"
}

# control_address SERVICE-NUMBER: prints the address of the control interface of a service's
# group of backend servers.
control_address() { echo "127.0.0.1:$((7600 + 10 * $1))"; }

# set_fault SERVICE-NUMBER SERVER JSON: switches a fault of a backend server on or off.
set_fault() {
	curl -sf -X POST "http://$(control_address "$1")/control/servers/$2" -d "$3" >/dev/null ||
		log "could not set fault $3 at backend server $2"
}

# primary_of SERVICE-NUMBER: prints the backend server that is the primary of the newest term.
primary_of() { bin/pomelo-load primary "$(control_address "$1")"; }

# put_instances: writes the platform's list of instances and backend servers.
put_instances() {
	local k id service address domain list=
	for k in $(seq 0 $((INSTANCES - 1))); do
		list+=",{\"id\":\"entry-$k\",\"kind\":\"entry\",\"address\":\"127.0.0.1:$((7200 + k))\",\"failure_domain\":\"$(domain_of "$k")\",\"service\":\"\",\"state\":\"live\"}"
	done
	while read -r id service address domain; do
		list+=",{\"id\":\"$id\",\"kind\":\"backend_server\",\"address\":\"$address\",\"failure_domain\":\"$domain\",\"service\":\"$service\",\"state\":\"live\"}"
	done < <(layout servers)
	curl -sf -X PUT "http://$PLATFORM/control/instances" -d "{\"instances\":[${list#,}]}" >/dev/null
}

# put_config: stores the configuration in the platform's key-value service.
put_config() { layout swap | curl -sf -X POST "http://$PLATFORM/v1/swap" -d @- >/dev/null; }

# wait_ready: waits until every instance reports that it is ready. It fails if an instance has
# ended, or after 300 tries for all instances together, 0.1 s apart.
wait_ready() {
	local k tries=0
	for k in $(seq 0 $((INSTANCES - 1))); do
		until curl -sf -o /dev/null "http://127.0.0.1:$((7300 + k))/ready"; do
			tries=$((tries + 1))
			if [ "$tries" -ge 300 ] || ! is_running "entry-$k"; then
				log "entry-$k is not ready after $tries tries; the last lines of its log:"
				tail -5 "$RUN_DIR/entry-$k.log" >&2
				return 1
			fi
			sleep 0.1
		done
	done
}

# wait_port ADDRESS: waits until a process listens at the address. It fails after 100 tries,
# 0.05 s apart.
wait_port() {
	local tries=0
	until (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; do
		tries=$((tries + 1))
		[ "$tries" -ge 100 ] && { log "no process listens at $1 after $tries tries"; return 1; }
		sleep 0.05
	done
}

# start_groups: starts an emulator for each service's group of backend servers.
start_groups() {
	local n service user password slots connections address
	while read -r n service user password slots connections address; do
		POMELO_GROUP_PASSWORD=$password start_process "group-$n" bin/pomelo-group --service "$service" \
			--listen "$address" --control "$(control_address "$n")" --user "$user" \
			--slots "$slots" --connections "$connections" --connect-cost "$CONNECT_COST" --statement-cost "$STATEMENT_COST"
	done < <(layout services)
}

# start_fleet: kills what an earlier run left, starts the emulators of the platform and the
# backend servers, then the instances, and waits until all are ready.
start_fleet() {
	local k
	mkdir -p "$RUN_DIR"
	kill_all
	rm -f "$RUN_DIR"/*.log
	start_process platform bin/pomelo-platform --listen "$PLATFORM"
	start_groups
	wait_port "$PLATFORM"
	put_instances
	put_config
	for k in $(seq 0 $((INSTANCES - 1))); do start_entry "$k"; done
	wait_ready
	sleep "$SETTLE"
}
