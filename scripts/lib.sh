# Functions that start and stop the processes of a local fleet. Sourced by the
# other scripts, from the root of the repository. Each process has a file with its
# process id under $RUN_DIR, and only processes listed there are ever ended.

RUN_DIR=${RUN_DIR:-out/demo}
CONFIG=${CONFIG:-examples/slamka.json}
INSTANCES=${INSTANCES:-7}
PLATFORM=127.0.0.1:7400
CONNECT_COST=${CONNECT_COST:-10ms}
STATEMENT_COST=${STATEMENT_COST:-1ms}
# The wait after the fleet is ready, in seconds. An instance is ready only when its shares
# of the rates can be used, so none is needed.
SETTLE=${SETTLE:-0}
# What instances show each other on links. A real fleet keeps it in the environment.
export POMELOFORK_FLEET_SECRET=${POMELOFORK_FLEET_SECRET:-demo-fleet}

# layout PART: prints a part of the configuration, see pomelo-load layout --help.
layout() { bin/pomelo-load layout "$1" --config "$CONFIG"; }

# domain_of K: the failure domain of instance entry-K. Instances take turns through
# the failure domains of the backend servers.
domain_of() {
	local domains
	mapfile -t domains < <(layout servers | cut -d' ' -f4 | sort -u)
	echo "${domains[$(($1 % ${#domains[@]}))]}"
}

say() { echo "$(date +%T) $*" >&2; }

# start NAME COMMAND...: runs a process in the background.
start() {
	local name=$1
	shift
	"$@" >>"$RUN_DIR/$name.log" 2>&1 </dev/null &
	echo $! >"$RUN_DIR/$name.pid"
	disown $!
}

# alive NAME: whether the process that was started as NAME still runs.
alive() {
	local pid
	pid=$(cat "$RUN_DIR/$1.pid" 2>/dev/null) || return 1
	# A process id can be given to another program; ours all live in bin/.
	[[ "$(tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" || true)" == bin/* ]] 2>/dev/null
}

# gone NAME SECONDS: waits for a process to end; false when it still runs after that.
gone() {
	local left=$(($2 * 10))
	while alive "$1"; do
		[ "$left" -eq 0 ] && return 1
		sleep 0.1
		left=$((left - 1))
	done
	rm -f "$RUN_DIR/$1.pid"
}

# signal NAME SIGNAL: sends a signal to a process that still runs.
signal() {
	if alive "$1"; then kill -s "$2" "$(cat "$RUN_DIR/$1.pid")"; fi
}

# end NAME [SIGNAL]: sends the signal (TERM) and waits for the process to go. A planned
# stop may take the time that serve --drain-timeout allows.
end() {
	signal "$1" "${2:-TERM}"
	if ! gone "$1" 40; then
		say "$1 doesn't stop, killing it"
		signal "$1" KILL
		gone "$1" 5
	fi
}

# end_all: stops everything that was started under $RUN_DIR. Nothing is handed over
# when a whole fleet goes, so nobody waits for it.
end_all() {
	local file names=()
	for file in "$RUN_DIR"/*.pid; do
		[ -e "$file" ] && names+=("$(basename "$file" .pid)")
	done
	for name in "${names[@]}"; do signal "$name" KILL; done
	for name in "${names[@]}"; do gone "$name" 5 || say "$name doesn't end"; done
	return 0
}

# start_entry K: starts instance entry-K.
start_entry() {
	local k=$1
	start "entry-$k" bin/pomelofork serve --id "entry-$k" \
		--failure-domain "$(domain_of "$k")" \
		--caller-listen "127.0.0.1:$((7000 + k))" --link-listen "127.0.0.1:$((7100 + k))" \
		--peer-listen "127.0.0.1:$((7200 + k))" --admin-listen "127.0.0.1:$((7300 + k))" \
		--platform "http://$PLATFORM"
}

# entries: the callers' addresses, joined by commas.
entries() {
	local k list=
	for k in $(seq 0 $((INSTANCES - 1))); do list+=",127.0.0.1:$((7000 + k))"; done
	echo "${list#,}"
}

# admins: the administration addresses, joined by commas.
admins() {
	local k list=
	for k in $(seq 0 $((INSTANCES - 1))); do list+=",127.0.0.1:$((7300 + k))"; done
	echo "${list#,}"
}

# control SERVICE-NUMBER: the address of a group's control interface.
control() { echo "127.0.0.1:$((7600 + 10 * $1))"; }

# fault SERVICE-NUMBER SERVER JSON: changes a fault of a backend server.
fault() {
	curl -sf -X POST "http://$(control "$1")/control/servers/$2" -d "$3" >/dev/null ||
		say "fault $3 at $2 was refused"
}

# primary_of SERVICE-NUMBER: the backend server that leads the newest term.
primary_of() { bin/pomelo-load primary "$(control "$1")"; }

# put_instances: fills the platform's list of instances.
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

# put_config: puts the configuration in force.
put_config() { layout swap | curl -sf -X POST "http://$PLATFORM/v1/swap" -d @- >/dev/null; }

# wait_ready: waits until every instance says that it is ready.
wait_ready() {
	local k tries=0
	for k in $(seq 0 $((INSTANCES - 1))); do
		until curl -sf -o /dev/null "http://127.0.0.1:$((7300 + k))/ready"; do
			tries=$((tries + 1))
			if [ "$tries" -ge 300 ] || ! alive "entry-$k"; then
				say "entry-$k isn't ready; the end of its log:"
				tail -5 "$RUN_DIR/entry-$k.log" >&2
				return 1
			fi
			sleep 0.1
		done
	done
}

# wait_port ADDRESS: waits until something listens there.
wait_port() {
	local tries=0
	until (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; do
		tries=$((tries + 1))
		[ "$tries" -ge 100 ] && { say "nothing listens at $1"; return 1; }
		sleep 0.05
	done
}

# start_groups: starts the stand-in of each service's group of backend servers.
start_groups() {
	local n service user password slots connections address
	while read -r n service user password slots connections address; do
		POMELO_GROUP_PASSWORD=$password start "group-$n" bin/pomelo-group --service "$service" \
			--listen "$address" --control "$(control "$n")" --user "$user" \
			--slots "$slots" --connections "$connections" --connect-cost "$CONNECT_COST" --statement-cost "$STATEMENT_COST"
	done < <(layout services)
}

# fleet_up: starts the platform, the groups and the instances, and waits for them.
fleet_up() {
	local k
	mkdir -p "$RUN_DIR"
	end_all
	rm -f "$RUN_DIR"/*.log
	start platform bin/pomelo-platform --listen "$PLATFORM"
	start_groups
	wait_port "$PLATFORM"
	put_instances
	put_config
	for k in $(seq 0 $((INSTANCES - 1))); do start_entry "$k"; done
	wait_ready
	sleep "$SETTLE"
}
