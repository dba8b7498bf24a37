#!/usr/bin/env bash
# Measures the overhead of control per entry instance for several numbers of workers and running tasks: processor
# time of the control thread, bytes sent to other entry instances, and memory. Runs three real entry instances with
# stand-ins of the platform.
# Usage: [BUILD_DIR=build] scripts/capacity.sh [WORKERS...]   (default 8 24 48)
set -uo pipefail
cd "$(dirname "$0")/.."
build=0
title=capacity
# shellcheck source=scripts/cluster_lib.sh
. scripts/cluster_lib.sh
passed=1 # there are no checks here, and finish() treats a run without a passed check as failed
seconds=10
sizes=("$@")
[ "${#sizes[@]}" -gt 0 ] || sizes=(8 24 48)

# Prints the value of a metric of one seat: metric SEAT NAME.
metric() { curl -s -m 2 "http://${operators[$1]}/metrics" | awk -v name="$2" '$1 == name {print $2}'; }
start_workers() {
    local it
    for it in $(seq "$1"); do
        start "w$it" "$bin/standins/standin_worker" --listen=127.0.0.1:0 --id="w$it" --zone=munich \
            --rack="rack-$((it / 6))" --labels=tier=overnight --slots=8 --connections=64 --cpu_milli=32000 \
            --memory_mb=65536 --accelerators=0 --overcommit_cpu_percent=150 --list="$(address_of list)"
    done
}
measure() {
    local workers=$1 it owner before=() cpu bytes
    start log "$bin/standins/standin_log" --listen=127.0.0.1:0
    start list "$bin/standins/standin_list" --listen=127.0.0.1:0
    within 5 has_address log && within 5 has_address list || return 1
    start_workers "$workers"
    start_instances
    export CARDAMOMPADDLE_OPERATORS=${operators[0]},${operators[1]},${operators[2]}
    export CARDAMOMPADDLE_CALLERS=${callers[0]},${callers[1]},${callers[2]}
    for it in 0 1 2; do ready "$it" || return 1; done
    "$cli" tables apply examples/booking.tables.json >/dev/null || return 1
    create_key marienplatz key >/dev/null 2>&1 || return 1
    "$cli" submit garment-watch --id=steady --tasks=$((workers * 4)) --repeatable --slots=1 --cpu_milli=100 \
        --memory_mb=50 --payload='{"service":true}' >/dev/null || return 1
    sleep 10
    owner=$(owner_of overnight)
    for it in 0 1 2; do
        before+=("$(metric "$it" cardamompaddle_control_cpu_seconds_total) $(metric "$it" 'cardamompaddle_peer_bytes_total{direction="out"}')")
    done
    sleep "$seconds"
    for it in 0 1 2; do
        read -r cpu bytes <<<"${before[it]}"
        awk -v workers="$workers" -v role="$([ "$it" = "$owner" ] && echo owner || echo other)" -v seconds="$seconds" \
            -v cpu0="$cpu" -v bytes0="$bytes" -v cpu1="$(metric "$it" cardamompaddle_control_cpu_seconds_total)" \
            -v bytes1="$(metric "$it" 'cardamompaddle_peer_bytes_total{direction="out"}')" \
            -v rss="$(awk '/^VmRSS/ {print $2}' "/proc/${daemons[it]}/status")" \
            -v running="$("$cli" job steady --json | value running)" 'BEGIN {
            printf "workers %d running %d %s: control %.2f%% of a core, peers out %.1f KB/s, memory %.1f MB\n",
                workers, running, role, (cpu1 - cpu0) / seconds * 100, (bytes1 - bytes0) / seconds / 1000, rss / 1000 }'
    done
}

od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$work/token"
export CARDAMOMPADDLE_TOKEN_FILE=$work/token
export CARDAMOMPADDLE_KEY_FILE=$work/key
for n in "${sizes[@]}"; do
    measure "$n" || { echo "not measured: $n workers"; failed=1; }
    stop_all
    pids=()
done
