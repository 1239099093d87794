#!/usr/bin/env bash
# Plays every scenario that comes with the emulator on real sockets and holds it against virtual time: no rule broken,
# what was expected met, the share of worth served within `sockets_within` of it. About 10 minutes with 2 jobs.
#   tests/long/sockets.sh BUILD [JOBS]
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${1:?the build folder} jobs=${2:-2}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
one() {
    local file=$1 name within
    name=$(basename "$file" .toml)
    within=$(sed -n 's/^sockets_within = //p' "$file")
    "$build/tools/martenford-emulator" play "$file" --quiet --report json >"$work/$name.virtual" || true
    "$build/tools/martenford-emulator" play "$file" --quiet --sockets --report json >"$work/$name.sockets" 2>"$work/$name.err" || true
    python3 - "$name" "$work/$name.virtual" "$work/$name.sockets" "${within:-0.15}" <<'PY'
import json, sys
name, virtual, sockets, within = sys.argv[1:]
try:
    v, s = json.load(open(virtual)), json.load(open(sockets))
except ValueError:
    print(f"{name:<28} NO REPORT")
    sys.exit(1)
broken = sum(r["breaches"] for r in s["rules"])
missed = [e["text"] for e in s["expect"] if not e["met"]]
apart = abs(v["service"] - s["service"])
good = broken == 0 and not missed and apart <= float(within)
print(f"{name:<28} {'ok ' if good else 'BAD'} service {v['service']:.3f} virtual {s['service']:.3f} sockets, "
      f"worst 10 s {v['worst_10s']:.3f} {s['worst_10s']:.3f}, breaches {broken}"
      + (f", not met: {'; '.join(missed)}" if missed else ""))
for r in s["rules"]:
    for e in r["examples"][:2]:
        print("    ", r["rule"], "|", e)
sys.exit(0 if good else 1)
PY
}
export -f one
export build work
printf '%s\n' scenarios/*.toml | xargs -P "$jobs" -I{} bash -c 'one {}'
