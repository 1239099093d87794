#!/usr/bin/env bash
# Planned stops of real proxies under downloads, with overlapping kills, freezes, cuts and lost answers: many seeds of
# tests/mesh/soak_test.cpp, 30 s of faults each. Usage: tests/long/shutdown_soak.sh BUILD [SEEDS] [JOBS] [SECONDS]
set -euo pipefail
soak=$(realpath "$1")/tests/mesh/mesh_soak seeds=${2:-100} jobs=${3:-$(($(nproc) / 2))}
export MARTENFORD_SPAN=${4:-30}
play() {
    if out=$(MARTENFORD_SEED=$2 "$1" 2>&1); then
        grep '^seed' <<<"$out"
    else
        echo "seed $2: FAILED"
        echo "$out"
        return 1
    fi
}
export -f play
seq 1 "$seeds" | xargs -P"$jobs" -I{} bash -c 'play "$@"' _ "$soak" {}
