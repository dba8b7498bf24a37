#!/usr/bin/env bash
# Runs three entry instances with stand-ins of the platform on free local ports and checks the behaviour that users see.
# Usage: [BUILD_DIR=build] scripts/demo.sh [--no-build]
# Prints "ok NAME" or "not ok NAME: reason" for each check and "demo: N passed, M failed" at the end; exits 0
# only if none failed. Keeps the logs only after a failure.
set -uo pipefail
cd "$(dirname "$0")/.."
build=1
for it in "$@"; do
    [ "$it" = --no-build ] || { echo "unknown option $it" >&2; exit 2; }
    build=0
done
title=demo
# shellcheck source=scripts/cluster_lib.sh
. scripts/cluster_lib.sh

# --- checks
expect_exit() {
    local wanted=$1 got
    shift
    "$@"
    got=$?
    [ "$got" = "$wanted" ] || fail "exit code $got instead of $wanted: $*"
}
apply_tables() {
    "$cli" validate "$1" && "$cli" tables apply "$1" --dry_run && "$cli" tables apply "$1" || return 1
    local difference
    difference=$("$cli" tables diff "$1")
    [ "$difference" = "no difference" ] || fail "the tables differ after apply: $difference"
}
stale_edit_refused() { expect_exit 6 "$cli" tables apply "$1" --base_version=0; }
quick_request() {
    local output
    output=$("$cli" request "$1" --payload='{"run_ms":20,"output":"pong"}' --repeatable) || return 1
    [ "$output" = pong ] || fail "answer is '$output'"
}
# run_job ROUTE ID TASKS [FLAGS...]: submits a job and waits until it has succeeded.
run_job() {
    local route=$1 id=$2 tasks=$3
    shift 3
    "$cli" submit "$route" --id="$id" --tasks="$tasks" --repeatable "$@" && job_succeeds "$id" "$tasks"
}
job_succeeds() {
    local job
    timeout --foreground 40 "$cli" watch "$1" || fail "$("$cli" job "$1" --json)" || return 1
    job=$("$cli" job "$1" --json)
    [ "$(value finished <<<"$job")" = "$2" ] || fail "not all tasks finished: $job"
}
job_runs() { [ "$("$cli" job "$1" --json | value state)" = running ] || fail "$("$cli" job "$1" --json)"; }
service() {
    "$cli" submit "$1" --id="$2" --tasks=2 --repeatable --payload='{"service":true}' || return 1
    within 10 job_runs "$2" && "$cli" cancel "$2" || return 1
    "$cli" job "$2" --wait_ms=5000 --json >"$work/service.json"
    [ "$(value state <"$work/service.json")" = cancelled ] || fail "$(cat "$work/service.json")"
}
# Submitting the same id and content again returns the same job; the same id with other content is a conflict.
repeated_submission() {
    "$cli" submit "$1" --id=again --tasks=3 --repeatable --payload=x || return 1
    "$cli" submit "$1" --id=again --tasks=3 --repeatable --payload=x || return 1
    expect_exit 6 "$cli" submit "$1" --id=again --tasks=4 --repeatable --payload=x || return 1
    job_succeeds again 3 || return 1
    local runs
    runs=$(cat <(history_of bulk-a) <(history_of bulk-b) | grep -o '"job":"again"' | wc -l)
    [ "$runs" = 3 ] || fail "$runs attempts of 3 tasks"
}

# starts_since WORKER TIME: prints the number of attempts that WORKER started after TIME on its clock.
starts_since() {
    history_of "$1" | grep -o '"start_ms":[0-9]*' | cut -d: -f2 | awk -v t="$2" '$1 > t {n++} END {print n + 0}'
}
zone_out() {
    local since_bulk since_interactive n
    "$cli" submit invoice-run --id=flow --tasks=250 --repeatable --cpu_milli=100 --memory_mb=100 --slots=1 \
        --payload='{"run_ms":150}' || return 1
    "$cli" zones out nl-west-b || return 1
    sleep 3
    since_bulk=$(worker_clock bulk-b)
    since_interactive=$(worker_clock interactive-b)
    for n in 1 2 3 4 5; do quick_request statement-preview || return 1; done
    run_job invoice-run out-batch 40 --cpu_milli=100 --memory_mb=100 --slots=1 --payload='{"run_ms":50}' || return 1
    job_succeeds flow 250 || return 1
    n=$(($(starts_since bulk-b "$since_bulk") + $(starts_since interactive-b "$since_interactive")))
    [ "$n" = 0 ] || fail "$n starts in the zone later than 3 s after it was taken out"
}
zone_in() {
    local since n
    since=$(worker_clock bulk-b)
    "$cli" zones in nl-west-b || return 1
    sleep 3
    run_job invoice-run in-batch 60 --cpu_milli=100 --memory_mb=100 --slots=1 --payload='{"run_ms":150}' || return 1
    n=$(starts_since bulk-b "$since")
    [ "$n" -gt 0 ] || fail "no start in the zone after its return"
}

# Sends a request to one seat with the key that is withdrawn later.
request_with() { "$cli" request booking --callers="${callers[$1]}" --key_file="$work/second" --payload=x --repeatable; }
key_works() {
    local it
    for it in 0 1 2; do request_with "$it" || fail "seat $it refused a valid key" || return 1; done
}
key_refused() {
    local it out
    for it in 0 1 2; do
        out=$(request_with "$it" 2>&1)
        [ $? = 3 ] && grep -q unauthenticated <<<"$out" || fail "seat $it: $out" || return 1
    done
}
key_withdrawn() {
    local start
    start=$(now_ms)
    "$cli" keys withdraw "$(cat "$work/second.id")" || return 1
    within 3 key_refused || return 1
    [ $(($(now_ms) - start)) -le 3000 ] || fail "took $(($(now_ms) - start)) ms"
    key_refused
}
open_route() {
    [ "$(CARDAMOMPADDLE_KEY_FILE='' "$cli" request size-check --payload=hello)" = hello ] || fail "no answer without a key"
}
without_key() { CARDAMOMPADDLE_KEY_FILE='' expect_exit 3 "$cli" request booking --payload=x; }
show_tables() {
    local it
    for it in instances workers queues teams pools "zones list" "keys list" "report slo --svg=$work/slo.svg"; do
        # shellcheck disable=SC2086
        "$cli" $it || fail "$it" || return 1
    done
    grep -q '</svg>' "$work/slo.svg" || fail "report slo wrote no SVG document"
}

in_flight_answered() {
    local out
    out=$(cat "$work/in-flight")
    [ "$(cat "$work/in-flight.code")" = 0 ] && [ "$out" = late ] || fail "code $(cat "$work/in-flight.code"): $out"
}
no_process_left() { ! running "${pids[@]}" || fail "a process is still running"; }

# --- the run

build_programs
for it in "$cli" "$bin/daemon/cardamompaddled"; do
    [ -x "$it" ] || { echo "not ok build: $it is missing"; failed=1; exit 1; }
done
begin=$(now_ms)
od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$work/token"
start_platform || { echo "not ok platform: a stand-in did not start"; failed=1; exit 1; }
start_instances
export CARDAMOMPADDLE_OPERATORS=${operators[0]},${operators[1]},${operators[2]}
export CARDAMOMPADDLE_CALLERS=${callers[0]},${callers[1]},${callers[2]}
export CARDAMOMPADDLE_TOKEN_FILE=$work/token
export CARDAMOMPADDLE_KEY_FILE=$work/first
for it in 0 1 2; do check "ready-$it" ready "$it"; done
[ "$failed" = 0 ] || exit 1

check billing-tables apply_tables examples/billing.tables.json
check stale-edit-refused stale_edit_refused examples/booking.tables.json
check key-created create_key amsterdam-cooling first
check billing-request within 10 quick_request statement-preview
check billing-batch run_job invoice-run batch-1 12 --payload='{"run_ms":100}'
check billing-gang run_job settlement gang-1 4 --payload='{"run_ms":200}'
check billing-service service meter-feed service-1
check repeated-submission repeated_submission invoice-run
check zone-out zone_out
check zone-in zone_in

check booking-tables apply_tables examples/booking.tables.json
check booking-key create_key marienplatz first
check booking-request within 10 quick_request booking
check booking-open-route within 10 open_route
check booking-without-key without_key
check booking-batch run_job matching batch-2 6 --payload='{"run_ms":100}'
check booking-gang run_job season-plan gang-2 3 --payload='{"run_ms":200}'
check booking-service service garment-watch service-2
check operator-tables show_tables

check second-key create_key marienplatz second
check second-key-works within 6 key_works
check withdrawn-key-refused key_withdrawn

victim=$(owner_of overnight)
read -r left right <<<"$(others "$victim")"
check batch-submitted "$cli" submit matching --id=survivor --tasks=200 --repeatable --cpu_milli=500 \
    --memory_mb=500 --slots=1 --payload='{"run_ms":300}'
sleep 1
{ kill -KILL "${daemons[victim]}"; wait "${daemons[victim]}"; } 2>/dev/null
export CARDAMOMPADDLE_CALLERS=${callers[left]},${callers[right]}
export CARDAMOMPADDLE_OPERATORS=${operators[left]},${operators[right]}
check job-survives-kill job_succeeds survivor 200

within 10 quick_request booking >"$work/before-stop" 2>&1
("$cli" request booking --callers="${callers[left]}" --payload='{"run_ms":1500,"output":"late"}' \
    >"$work/in-flight" 2>&1; echo $? >"$work/in-flight.code") &
request=$!
sleep 0.5
kill -TERM "${daemons[left]}"
wait "$request"
check in-flight-answered in_flight_answered
record_exit_code "${daemons[left]}"
check "graceful-stop-$left" exited_cleanly "${daemons[left]}"
kill -TERM "${daemons[right]}"
record_exit_code "${daemons[right]}"
check "graceful-stop-$right" exited_cleanly "${daemons[right]}"
stop_all
check no-process-left no_process_left
echo "took $((($(now_ms) - begin) / 1000)) s"
