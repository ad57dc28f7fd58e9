#!/usr/bin/env bash
# The fault soak with fresh seeds: the real programs as separate processes.
#
#   scripts/soak.sh [SECONDS] [SEED…]   seconds of faults for each seed
#                                       [default: 300, one seed drawn now]
#
# A seed that breaks a promise is printed with the folder of its records; add it
# to REGRESSION_SEEDS in platform/tests/soak/main.rs with a line on its cause.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-300}
shift || true
seeds=("$@")
[ ${#seeds[@]} -gt 0 ] || seeds=("$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')")
for seed in "${seeds[@]}"; do
    SOAK_SECONDS=$seconds SOAK_SEED=$seed \
        cargo test --locked -q -p courseshunt-platform --test soak -- --nocapture
done
