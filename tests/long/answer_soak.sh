#!/usr/bin/env bash
# Late second answers of endpoints, under series of stops, reloads and configuration changes and overlapping faults: many
# seeds of tests/mesh/answer_soak_test.cpp, 30 s each. Usage: tests/long/answer_soak.sh BUILD [SEEDS] [JOBS] [SECONDS] [PROXIES] [FIRST]
set -euo pipefail
soak=$(realpath "$1")/tests/mesh/mesh_answer_soak seeds=${2:-100} jobs=${3:-$(($(nproc) / 2))}
export MARTENFORD_SPAN=${4:-30} MARTENFORD_PROXIES=${5:-4}
first=${6:-1}
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
seq "$first" "$((first + seeds - 1))" | xargs -P"$jobs" -I{} bash -c 'play "$@"' _ "$soak" {}
