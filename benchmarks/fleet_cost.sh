#!/usr/bin/env bash
# What a fleet costs each of its processes when nothing happens: bytes a second on its links, share of a core, resident
# memory, each the mean over all of them and beside as many processes with no fleet. Loopback, no relay between.
#   benchmarks/fleet_cost.sh PROGRAM MEMBERS [SECONDS]
set -euo pipefail
program=$(realpath "${1:?the program}") members=${2:?how many} seconds=${3:-20}
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap cleanup EXIT
ticks() {  # of processor time, of all of them
    local all=0 pid stat
    for pid in "${pids[@]}"; do
        read -r -a stat <"/proc/$pid/stat"
        all=$((all + stat[13] + stat[14]))
    done
    echo "$all"
}
resident() {
    local all=0 pid pages
    for pid in "${pids[@]}"; do
        read -r _ pages _ <"/proc/$pid/statm"
        all=$((all + pages))
    done
    echo $((all * 4 / ${#pids[@]}))
}
bytes() {  # in and out, of all of them
    for i in $(seq 1 "$members"); do
        "$program" fleet members --console "127.30.$((i / 250)).$((1 + i % 250)):9600" --json 2>/dev/null | grep '"self"' |
            sed 's/.*"in":"\([0-9]*\)".*"out":"\([0-9]*\)".*/\1 \2/'
    done | awk '{ s += $1 + $2 } END { print s + 0 }'
}
for fleet in off on; do
    pids=()
    for i in $(seq 1 "$members"); do
        host="127.30.$((i / 250)).$((1 + i % 250))"
        sed "s/\"name\": *\"n0\"/\"name\": \"n$i\", \"console\": \"$host:9600\"/" "$root/tests/ready.json" >"$folder/$i.json"
        : >"$folder/$i.toml"
        if [[ $fleet == on ]]; then
            printf '[fleet]\nname = "cost"\nlisten = "%s:7400"\nseeds = ["127.30.0.2:7400", "127.30.0.3:7400"]\n' "$host" \
                >"$folder/$i.toml"
        fi
        PROXY_CONFIG="$folder/$i.json" MARTENFORD_CONFIG="$folder/$i.toml" "$program" 2>"$folder/$i.log" &
        pids+=($!)
    done
    sleep 30  # joined, and the rumours of it told
    sent=0
    [[ $fleet == off ]] || sent=$(bytes)
    before=$(ticks) from=$(date +%s.%N)
    sleep "$seconds"
    after=$(ticks) to=$(date +%s.%N)
    [[ $fleet == off ]] || sent=$(($(bytes) - sent))
    alive=$([[ $fleet == off ]] || "$program" fleet members --console 127.30.0.2:9600 | grep -c ' alive ' || true)
    awk -v m="$members" -v t="$((after - before))" -v s="$(echo "$to $from" | awk '{ print $1 - $2 }')" -v b="$sent" \
        -v r="$(resident)" -v f="$fleet" -v hz="$(getconf CLK_TCK)" -v alive="${alive:-0}" \
        'BEGIN { printf "%d processes, fleet %s: %.4f of a core, %d bytes/s in and out, %d KiB resident, %d seen alive\n",
                 m, f, t / hz / s / m, b / s / m, r, alive }'
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
done
