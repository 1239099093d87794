#!/usr/bin/env bash
# Writes and faults of every kind on real processes that share state, each schedule from a seed.
# Usage: tests/long/state_schedules.sh BUILD [SCHEDULES] [JOBS] [MEMBERS]
set -euo pipefail
tests=$(realpath "$1")/tests/state_process_tests schedules=${2:-200} jobs=${3:-$(($(nproc) / 2 + 1))}
export MARTENFORD_SCHEDULES=$schedules MARTENFORD_MEMBERS=${4:-6}
play() {
    if out=$("$1" --gtest_filter="Seeds/StateSchedules.*/$2" 2>&1); then
        echo "schedule $2: passed"
    else
        echo "schedule $2: FAILED"
        echo "$out" | head -40
        return 1
    fi
}
export -f play
seq 0 $((schedules - 1)) | xargs -P"$jobs" -I{} bash -c 'play "$@"' _ "$tests" {}
