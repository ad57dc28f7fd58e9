#!/usr/bin/env bash
# Installs what it needs, then checks everything: format, lints, docs, tests,
# model checks. Prints one line for each step.
set -euo pipefail
cd "$(dirname "$0")/.."

step() {
    echo "== $*"
}

if ! command -v spin >/dev/null; then
    step "install spin (model checker)"
    apt-get update -qq && apt-get install -y -qq spin >/dev/null
fi

step "format"
cargo fmt --all --check
step "lints"
cargo clippy --workspace --all-targets --locked --quiet -- -D warnings
step "docs"
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
step "tests"
cargo test --workspace --locked
step "a site as separate processes"
scripts/site.sh smoke
if [ -x spec/check.sh ]; then
    step "model checks"
    spec/check.sh
fi
step "all checks passed"
