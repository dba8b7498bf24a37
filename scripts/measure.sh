#!/usr/bin/env bash
# Measures the scheduler core on an optimised build: decision cost (scheduler_bench) and policy (policy_driver).
# Ends with one line for each target of docs/design.md section 1.4 that it covers; a missed target does not fail
# the run.
# Usage: scripts/measure.sh [--json]
set -euo pipefail
cd "$(dirname "$0")/.."
json=()
case "${1:-}" in
    '') ;;
    --json) json=(--json) ;;
    *) echo "usage: scripts/measure.sh [--json]" >&2; exit 2 ;;
esac
cmake -S . -B build-bench -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-bench --target scheduler_bench policy_driver >/dev/null
csv=$(mktemp)
driver=$(mktemp)
trap 'rm -f "$csv" "$driver"' EXIT

echo "machine: $(nproc) processors, load $(cut -d' ' -f1-3 /proc/loadavg)"
build-bench/src/bench/scheduler_bench --benchmark_format=csv 2>/dev/null >"$csv"
# Looks up columns by name, since the benchmark library determines the order of the counters.
awk -F, -v json="${#json[@]}" '
    /^name,/ { for (i = 1; i <= NF; i++) { gsub(/"/, "", $i); col[$i] = i }; header = 1; next }
    !header { next }
    {
        gsub(/"/, "", $1); sub(/\/iterations:.*/, "", $1)
        if ($1 ~ /^cancelWave/)
            line = sprintf("delay_ms=%.1f delay_wall_ms=%.1f", $col["delay_ms"], $col["delay_wall_ms"])
        else
            line = sprintf("placements_per_s=%.0f decide_p50_us=%.1f decide_p99_us=%.1f decide_wall_p99_us=%.1f",
                $col["placements_per_s"], $col["decide_p50_us"], $col["decide_p99_us"], $col["decide_wall_p99_us"])
        if (json) {
            gsub(/=/, "\":", line); gsub(/ /, ",\"", line)
            printf "{\"bench\":\"%s\",\"%s}\n", $1, line
        } else {
            printf "%-24s %s\n", $1, line
        }
    }' "$csv"
build-bench/src/bench/policy_driver "${json[@]}" >"$driver"
grep -v '^target ' "$driver"

awk -F, '
    function verdict(name, met, value, bound) {
        printf "target %s: %s %.4g (bound %s)\n", name, met ? "met" : "missed", value, bound
    }
    /^name,/ { for (i = 1; i <= NF; i++) { gsub(/"/, "", $i); col[$i] = i }; header = 1; next }
    !header { next }
    { gsub(/"/, "", $1); sub(/\/iterations:.*/, "", $1); rate[$1] = $col["placements_per_s"]
      p99[$1] = $col["decide_wall_p99_us"]; delay[$1] = $col["delay_wall_ms"] }
    END {
        split("placements placementsWhenFull", names, " ")
        for (n = 1; n <= 2; n++) {
            big = names[n] "/2000"; small = names[n] "/48"
            verdict(names[n] "_per_s", rate[big] >= 20000, rate[big], 20000)
            verdict(names[n] "_decision_p99_us", p99[big] < 1000, p99[big], 1000)
            verdict(names[n] "_cost_growth", rate[small] / rate[big] < 4, rate[small] / rate[big], 4)
        }
        verdict("cancel_wave_delay_ms", delay["cancelWave/2000"] < 50, delay["cancelWave/2000"], 50)
    }' "$csv"
grep '^target ' "$driver"
