#!/usr/bin/env bash
# How soon all copies of the shared state have a write, and what it takes one that lacks a share of 100,000 entries to catch up,
# in virtual time: two tables and, where gnuplot is there, a picture. Takes a minute.
#   tests/long/state_curve.sh EMULATOR FOLDER
set -euo pipefail
emulator=$(realpath "${1:?the emulator}") folder=$(realpath "${2:?a folder for the results}")
"$emulator" state --members 10 >"$folder/state-spread.tsv"
for members in 100 300 1000 3000; do "$emulator" state --bare --members $members >>"$folder/state-spread.tsv"; done
"$emulator" state --members 5 --entries 100000 --behind 0.0001 >"$folder/state-catch-up.tsv"
for behind in 0.001 0.01 0.05 0.1 0.5 1; do
    "$emulator" state --bare --members 5 --entries 100000 --behind $behind >>"$folder/state-catch-up.tsv"
done
cat "$folder/state-spread.tsv" "$folder/state-catch-up.tsv"
command -v gnuplot >/dev/null || exit 0
gnuplot <<PLOT
set terminal svg size 760,420 font "sans,12"
set output "$folder/state-catch-up.svg"
set xlabel "entries that one of five copies lacks, of 100,000"
set ylabel "KB sent by all until they are alike"
set logscale xy
set key top left
plot "$folder/state-catch-up.tsv" every ::1 using 3:6 with linespoints title "ranges, then pages", \
    "$folder/state-catch-up.tsv" every ::1 using 3:7 with lines title "all entries as they are"
PLOT
