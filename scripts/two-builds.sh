#!/usr/bin/env bash
# Plays upgrades with real processes of production's build and of this one side by side, and
# replacements of each build by the other beside clients that use connections to the end.
#
#   scripts/two-builds.sh [SEED…]     [default: one seed drawn now]
#
# SOAK_TRAFFIC=rare adds streams on rarely used models; platform/tests/soak/replacements.rs lists this
# and the other variables.
#
# Production's commit is the one that deploy/system.toml names; its program is built once out of
# the repository's history, under target/production.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/system.toml)
folder=$PWD/target/production
if [ ! -x "$folder/target/release/courseshunt-platform" ]; then
    mkdir -p "$folder/source"
    git archive "$commit" | tar -x -C "$folder/source"
    (cd "$folder/source" && CARGO_TARGET_DIR="$folder/target" \
        cargo build --release --locked -p courseshunt-platform)
fi
seeds=("$@")
[ ${#seeds[@]} -gt 0 ] || seeds=("$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')")
tests=(
    an_upgrade_reaches_every_router_in_time_in_any_order
    no_request_is_lost_at_this_build_while_processes_of_two_builds_replace_one_another
)
for seed in "${seeds[@]}"; do
    for test in "${tests[@]}"; do
        EARLIER_PROGRAM="$folder/target/release/courseshunt-platform" SOAK_SEED=$seed \
            cargo test --locked -q -p courseshunt-platform --test soak -- \
            --ignored --nocapture "$test"
    done
done
