#!/usr/bin/env bash
# Checks each model, and that each of its mutants fails.
set -euo pipefail
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# Prints "holds" or "fails" for a model under some definitions.
verdict() {
    local model=$1
    shift
    local name="$model$*"
    local work="$folder/${name//[^a-zA-Z0-9]/_}"
    mkdir -p "$work"
    cp "$model.pml" "$work/"
    (
        cd "$work"
        spin "$@" -a "$model.pml" >spin.log
        cc -O1 -DSAFETY -DMEMLIM=1500 -DCOLLAPSE -o pan pan.c 2>cc.log
        ./pan -E -m200000 >pan.log 2>&1
    ) || { echo "spec: $name could not be run" >&2; return 1; }
    if grep -q "max search depth too small\|Search not completed\|out of memory" "$work/pan.log" &&
        ! grep -q "errors: [1-9]" "$work/pan.log"; then
        echo "spec: $name was not searched to its end" >&2
        return 1
    fi
    if grep -q "errors: 0" "$work/pan.log"; then echo holds; else echo fails; fi
}

expect() {
    local wanted=$1
    shift
    local found
    found=$(verdict "$@")
    echo "spec: $* $found"
    [ "$found" = "$wanted" ] || { echo "spec: expected: $wanted" >&2; exit 1; }
}

expect holds claims
expect fails claims -DSTALE_LEADER
expect fails claims -DNO_FENCE
expect holds membership
expect holds membership -DTERMS=3 -DLENGTH=2
expect fails membership -DNO_JOINT
expect fails membership -DCOUNT_OLD
expect holds orders
expect fails orders -DNO_MARGIN
expect fails orders -DNO_RECORD
expect fails orders -DNOT_CAUGHT_UP
