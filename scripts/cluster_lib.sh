# Functions that start a small cluster of real processes on free local ports, for scripts/demo.sh and
# scripts/process_test.sh. The caller sets `title` and `build` first and works in the repository's root.
# shellcheck shell=bash

folder=${BUILD_DIR:-build}
bin=$PWD/$folder/src
cli=$bin/cli/cardamompaddle
passed=0
failed=0
pids=()
check_group=0
work=$(mktemp -d "${TMPDIR:-/tmp}/cardamompaddle-$title.XXXXXX") || exit 1

# Terminates every process that this script started: SIGTERM by id, then SIGKILL after 5 s.
stop_all() {
    local it
    for it in "${pids[@]}"; do kill -TERM "$it" 2>/dev/null; done
    for _ in $(seq 50); do
        running "${pids[@]}" || break
        sleep 0.1
    done
    for it in "${pids[@]}"; do kill -KILL "$it" 2>/dev/null; done
    wait 2>/dev/null
}
finish() {
    trap - EXIT INT TERM HUP
    exec 2>/dev/null # suppresses the shell's message for each killed process
    [ "$check_group" = 0 ] || kill -KILL -- "-$check_group" 2>/dev/null
    stop_all
    if [ "$failed" = 0 ] && [ "$passed" -gt 0 ]; then rm -rf "$work"; else echo "logs: $work"; fi
    echo "$title: $passed passed, $failed failed"
    [ "$failed" = 0 ] && [ "$passed" -gt 0 ] && [ "${1:-0}" = 0 ]
    exit $?
}
trap 'finish $?' EXIT
trap 'finish 130' INT
trap 'finish 143' TERM HUP

# --- helpers

# Succeeds if any of the processes is running.
running() {
    local it
    for it in "$@"; do kill -0 "$it" 2>/dev/null && return 0; done
    return 1
}
now_ms() { date +%s%3N; }
# Runs a command as the check NAME and prints the result, with the last line of the command's output as the
# reason for a failure. The command runs in its own process group, so that an interruption ends it and all its
# children.
check() {
    local name=$1
    shift
    set -m
    "$@" >"$work/check.out" 2>&1 &
    check_group=$!
    set +m
    if wait "$check_group"; then
        passed=$((passed + 1))
        echo "ok $name"
    else
        failed=$((failed + 1))
        echo "not ok $name: $(tail -n 1 "$work/check.out")"
        cp "$work/check.out" "$work/check.$name.out"
    fi
    check_group=0
}
# within SECONDS COMMAND...: repeats a command until it succeeds or SECONDS have passed.
within() {
    local end=$(($(now_ms) + $1 * 1000)) out
    shift
    while ! out=$("$@" 2>&1); do
        if [ "$(now_ms)" -ge "$end" ]; then
            echo "timed out: $out"
            return 1
        fi
        sleep 0.1
    done
}
fail() { echo "$*"; return 1; }
# Prints the string or number value of a key of the JSON object on standard input.
value() { sed -n "s/.*\"$1\":\"\\{0,1\\}\\([^\",}]*\\).*/\\1/p"; }

used_ports=" "
# Sets `port` to a free port below the system's ephemeral range.
pick_port() {
    while :; do
        port=$((20000 + RANDOM % 12000))
        case "$used_ports" in *" $port "*) continue ;; esac
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
        used_ports+="$port "
        return
    done
}
# start NAME COMMAND...: starts a process in the background and records its id; its output goes to NAME.out and
# NAME.err.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=("$!")
}
# Prints the address on which a stand-in listens.
address_of() { sed -n '1s/^listening //p' "$work/$1.out"; }
has_address() { [ -n "$(address_of "$1")" ] || fail "$1 has not printed its address"; }

# --- platform and entry instances

start_platform() {
    local it
    start log "$bin/standins/standin_log" --listen=127.0.0.1:0
    start list "$bin/standins/standin_list" --listen=127.0.0.1:0
    within 5 has_address log && within 5 has_address list || return 1
    # Columns: NAME ZONE TIER OVERCOMMIT. The billing tables use the first four workers, the booking tables the rest.
    while read -r name zone tier overcommit; do
        start "$name" "$bin/standins/standin_worker" --listen=127.0.0.1:0 --id="$name" --zone="$zone" \
            --rack="$zone-1" --labels="tier=$tier" --slots=8 --connections=64 --cpu_milli=16000 \
            --memory_mb=32768 --accelerators=0 --overcommit_cpu_percent="$overcommit" \
            --list="$(address_of list)"
    done <<'EOF'
bulk-a nl-west-a bulk 120
interactive-a nl-west-a interactive 100
bulk-b nl-west-b bulk 120
interactive-b nl-west-b interactive 100
counter-m munich counter 100
overnight-m munich overnight 150
counter-n nuremberg counter 100
overnight-n nuremberg overnight 150
EOF
    for it in bulk-a interactive-a bulk-b interactive-b counter-m overnight-m counter-n overnight-n; do
        within 5 has_address "$it" || return 1
    done
}

zones=(nl-west-a nl-west-b munich)
peers=() callers=() operators=() daemons=()
write_settings() {
    local seat=$1 it seats=""
    for it in 0 1 2; do
        seats+="{\"availability_zone\": \"${zones[it]}\", \"peer\": \"${peers[it]}\"},"
    done
    cat >"$work/seat$seat.json" <<EOF
{"cell": "$title", "seat": $seat, "seats": [$seats],
 "listen": {"callers": "${callers[seat]}", "operators": "${operators[seat]}", "peers": "${peers[seat]}"},
 "platform": {"log": "$(address_of log)", "instance_list": "$(address_of list)"},
 "operator_token_sha256": "$(printf %s "$(cat "$work/token")" | sha256sum | cut -d' ' -f1)",
 "drain_delay_ms": 1000}
EOF
}
start_instances() {
    local it
    for it in 0 1 2; do
        pick_port; peers[it]=127.0.0.1:$port
        pick_port; callers[it]=127.0.0.1:$port
        pick_port; operators[it]=127.0.0.1:$port
    done
    for it in 0 1 2; do
        write_settings "$it"
        start "seat$it" "$bin/daemon/cardamompaddled" --settings="$work/seat$it.json"
        daemons[it]=${pids[-1]}
    done
}
# Waits until a seat is ready; fails early if its process has exited.
ready() {
    local reason=""
    for _ in $(seq 100); do
        reason=$(curl -s -m 2 "http://${operators[$1]}/readyz")
        [ "$reason" = ready ] && return
        running "${daemons[$1]}" || fail "seat $1 has exited: $(tail -n 1 "$work/seat$1.err")" || return 1
        sleep 0.2
    done
    fail "seat $1: $reason"
}

# --- work and keys

# create_key TEAM NAME: creates a key for TEAM and writes it to the file NAME and its id to NAME.id.
create_key() {
    "$cli" keys create "$1" >"$work/$2.new" || return 1
    sed -n 's/^key  *//p' "$work/$2.new" >"$work/$2"
    sed -n 's/^key_id //p' "$work/$2.new" >"$work/$2.id"
    rm "$work/$2.new"
    [ -s "$work/$2" ] && [ -s "$work/$2.id" ] || fail "the response contains no key"
}
history_of() { curl -sf -m 5 "http://$(address_of "$1")/history"; }
worker_clock() { history_of "$1" | value now_ms; }
# Prints the seat that owns a pool; 0 if the table of pools does not show it.
owner_of() {
    local seat
    seat=$("$cli" pools --json | grep -o "{[^{}]*\"pool\":\"$1\"[^{}]*}" | value owner_seat)
    case "$seat" in 0 | 1 | 2) echo "$seat" ;; *) echo 0 ;; esac
}
# Prints the seats other than the given one.
others() { local it out=(); for it in 0 1 2; do [ "$it" = "$1" ] || out+=("$it"); done; echo "${out[@]}"; }
# Checks the exit code recorded by record_exit_code.
exited_cleanly() {
    local code
    code=$(cat "$work/exit.$1" 2>/dev/null) || fail "still running after 25 s" || return 1
    [ "$code" = 0 ] || fail "exit code $code"
}
# Waits up to 25 s for a process to exit and records its exit code. Must be called in the shell whose child it is.
record_exit_code() {
    for _ in $(seq 250); do running "$1" && sleep 0.1; done
    running "$1" || { wait "$1"; echo $? >"$work/exit.$1"; }
}

build_programs() {
    [ "$build" = 1 ] || return 0
    scripts/install.sh || exit 1
    cmake -S . -B "$folder" -G Ninja >"$work/cmake.out" || exit 1
    cmake --build "$folder" --target cardamompaddle cardamompaddled standin_log standin_list standin_worker \
        >"$work/build.out" || { tail -n 20 "$work/build.out"; exit 1; }
}
