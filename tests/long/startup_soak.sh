#!/usr/bin/env bash
# Starts of real processes in bad surroundings, under load: many seeds of tests/mesh/startup_soak_test.cpp, 30 s of
# troubles each; each tenth with MANY proxies. Usage: tests/long/startup_soak.sh BUILD [SEEDS] [JOBS] [MANY]
set -euo pipefail
soak=$(realpath "$1")/tests/mesh/mesh_startup_soak seeds=${2:-50} jobs=${3:-$(($(nproc) / 2))}
export MANY=${4:-60} MARTENFORD_SPAN=${MARTENFORD_SPAN:-30}
play() {
    proxies=5
    if (($2 % 10 == 0)); then proxies=$MANY; fi
    if out=$(MARTENFORD_SEED=$2 MARTENFORD_PROXIES=$proxies "$1" 2>&1); then
        grep '^seed' <<<"$out"
    else
        echo "seed $2, $proxies proxies: FAILED"
        echo "$out"
        return 1
    fi
}
export -f play
seq 1 "$seeds" | xargs -P"$jobs" -I{} bash -c 'play "$@"' _ "$soak" {}
