#!/usr/bin/env bash
# Failure tests with real processes: kill -9, a pause longer than every worker session, a log outage longer than
# a lease, and a rolling restart under load.
# Usage: [BUILD_DIR=build] scripts/process_test.sh [--no-build]
# Prints "ok NAME" or "not ok NAME: reason" for each check and "process_test: N passed, M failed" at the end.
set -uo pipefail
cd "$(dirname "$0")/.."
build=1
for it in "$@"; do
    [ "$it" = --no-build ] || { echo "unknown option $it" >&2; exit 2; }
    build=0
done
title=process_test
# shellcheck source=scripts/cluster_lib.sh
. scripts/cluster_lib.sh
workers=(bulk-a interactive-a bulk-b interactive-b counter-m overnight-m counter-n overnight-n)

# --- checks

submit() {
    "$cli" submit matching --id="$1" --tasks="$2" --repeatable --cpu_milli=500 --memory_mb=500 --slots=1 \
        --payload="{\"run_ms\":$3}"
}
succeeds() { timeout --foreground 90 "$cli" watch "$1" || fail "$("$cli" job "$1" --json)"; }
request() {
    [ "$("$cli" request booking --callers="${callers[$1]}" --payload='{"run_ms":5,"output":"pong"}')" = pong ]
}
# Checks that no two attempts of a task overlap in the histories of all workers. The workers share this machine's
# clock, so their times are comparable.
no_task_twice() {
    local it
    for it in "${workers[@]}"; do history_of "$it" | tr '{' '\n'; done >"$work/history"
    sed -n 's/.*"team":"\([^"]*\)","job":"\([^"]*\)","index":\([0-9]*\),.*"start_ms":\([0-9]*\).*/\1\/\2\/\3 \4 &/p' \
        "$work/history" | awk '
        { end = match($0, /"end_ms":[0-9]+/) ? substr($0, RSTART + 9, RLENGTH - 9) : 9e15; print $1, $2, end }' |
        sort -k1,1 -k2,2n >"$work/intervals"
    [ -s "$work/intervals" ] || fail "no attempt was found in the histories" || return 1
    awk '$1 == task && $2 < until { print "overlap: " $0 " after " until; bad = 1 }
        { if ($1 != task) until = 0; task = $1; if ($3 > until) until = $3 } END { exit bad }' "$work/intervals"
}
job_survives_pause() {
    local owner
    owner=$(owner_of overnight)
    submit paused 150 400 || return 1
    sleep 2
    kill -STOP "${daemons[owner]}"
    # Longer than the quorum window, every worker session and the wait before the next owner acts.
    sleep 12
    kill -CONT "${daemons[owner]}"
    succeeds paused
}
log_control() { curl -sf -m 5 -X POST -d "$1" "http://$(address_of log)/control" >/dev/null; }
log_outage() {
    local end out code
    submit outage 200 800 || return 1
    sleep 1
    log_control '{"outage":true}' || return 1
    # Longer than the lease of every pool in the tables.
    end=$(($(now_ms) + 35000))
    while [ "$(now_ms)" -lt "$end" ]; do
        request 0 || fail "a quick request failed during the outage" || return 1
        sleep 0.5
    done
    out=$("$cli" submit matching --id=during --tasks=1 --payload=x 2>&1)
    code=$?
    log_control '{"outage":false}' || return 1
    case "$code" in 3 | 4 | 5) ;; *) fail "a job was accepted without the log: $code $out" || return 1 ;; esac
    succeeds outage
}
restart() {
    start "seat$1-$RANDOM" "$bin/daemon/cardamompaddled" --settings="$work/seat$1.json"
    daemons[$1]=${pids[-1]}
}
# Sends requests one after the other to the instances that are ready, as a load balancer does, until load.stop
# exists.
load() {
    local it
    while [ ! -e "$work/load.stop" ]; do
        for it in 0 1 2; do
            [ "$(curl -s -m 1 "http://${operators[it]}/readyz")" = ready ] || continue
            echo "sent" >>"$work/load.sent"
            request "$it" 2>>"$work/load.errors" || echo "seat $it" >>"$work/load.failed"
        done
    done
}

# --- the run

build_programs
od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$work/token"
start_platform || { echo "not ok platform: a stand-in did not start"; failed=1; exit 1; }
start_instances
export CARDAMOMPADDLE_OPERATORS=${operators[0]},${operators[1]},${operators[2]}
export CARDAMOMPADDLE_CALLERS=${callers[0]},${callers[1]},${callers[2]}
export CARDAMOMPADDLE_TOKEN_FILE=$work/token
export CARDAMOMPADDLE_KEY_FILE=$work/key
for it in 0 1 2; do check "ready-$it" ready "$it"; done
[ "$failed" = 0 ] || exit 1
check tables "$cli" tables apply examples/booking.tables.json
check key create_key marienplatz key
check first-request within 10 request 0

check job-survives-pause job_survives_pause
check no-task-twice-after-pause no_task_twice
check log-outage log_outage
check no-task-twice-after-outage no_task_twice

owner=$(owner_of counter)
read -r left right <<<"$(others "$owner")"
kill -KILL "${daemons[owner]}"
killed=$(now_ms)
check starts-within-10s-after-kill within 10 request "$left"
echo "# first start $(($(now_ms) - killed)) ms after the kill"
restart "$owner"
check restarted-ready within 20 ready "$owner"

load &
loader=$!
for it in 0 1 2; do
    kill -TERM "${daemons[it]}"
    for _ in $(seq 250); do running "${daemons[it]}" && sleep 0.1; done
    restart "$it"
    check "rolling-restart-$it" within 25 ready "$it"
done
touch "$work/load.stop"
wait "$loader"
none_failed() {
    [ -s "$work/load.sent" ] || fail "no request was sent" || return 1
    [ ! -s "$work/load.failed" ] ||
        fail "$(wc -l <"$work/load.failed") of $(wc -l <"$work/load.sent") failed: $(tail -n 1 "$work/load.errors")"
}
check no-request-cut-off none_failed
check no-task-twice-at-the-end no_task_twice
