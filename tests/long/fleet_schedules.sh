#!/usr/bin/env bash
# Faults of every kind on real processes, each schedule from a seed: 200 of them with 8 members, then a few with 100 and 300.
# Usage: tests/long/fleet_schedules.sh BUILD [SCHEDULES] [JOBS]
set -euo pipefail
tests=$(realpath "$1")/tests/fleet_process_tests schedules=${2:-200} jobs=${3:-$(($(nproc) / 2 + 1))}
export MARTENFORD_SCHEDULES=$schedules
play() {
    if out=$("$1" --gtest_filter="Seeds/FleetSchedules.*/$2" 2>&1); then
        echo "$MARTENFORD_MEMBERS members, schedule $2: passed"
    else
        echo "$MARTENFORD_MEMBERS members, schedule $2: FAILED"
        echo "$out" | grep -v '^{' | head -60
        return 1
    fi
}
export -f play
MARTENFORD_MEMBERS=8
export MARTENFORD_MEMBERS
seq 0 $((schedules - 1)) | xargs -P"$jobs" -I{} bash -c 'play "$@"' _ "$tests" {}
for MARTENFORD_MEMBERS in 100 300; do
    for number in 0 1; do play "$tests" "$number"; done
done
