#!/usr/bin/env bash
# Real controllers and proxies under faults, each schedule from a seed; 3, 4 and 5 controllers in turn.
# Usage: tests/long/mesh_schedules.sh BUILD [SCHEDULES] [JOBS] [FIRST_SEED] [SECONDS_OF_FAULTS]
set -euo pipefail
tests=$(realpath "$1")/tests/mesh/mesh_plays schedules=${2:-50} jobs=${3:-$(($(nproc) / 4 + 1))} first=${4:-101}
export MARTENFORD_SPAN=${5:-25} logs=${TMPDIR:-/tmp}/mesh-schedules
mkdir -p "$logs"
play() {
    if MARTENFORD_SEED=$2 "$1" >"$logs/$2.log" 2>&1; then
        grep '^seed' "$logs/$2.log"
    else
        echo "schedule $2: FAILED, $logs/$2.log"
        grep -m 12 -E '^seed|acknowledged and|refused|read |run and|not repeatable|answer|waited|ended by' "$logs/$2.log"
        return 1
    fi
}
export -f play
seq "$first" $((first + schedules - 1)) | xargs -P"$jobs" -I{} bash -c 'play "$@"' _ "$tests" {}
