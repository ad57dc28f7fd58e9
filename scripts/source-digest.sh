#!/usr/bin/env bash
# Prints the digest of the program's sources that its record `program` shows as `sources`.
#
#   scripts/source-digest.sh [COMMIT]     [default: the sources as they are in this folder]
#
# A list of `sha256sum`'s lines, ordered by path, is hashed again; platform/build.rs does the same.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
    folder=$(mktemp -d)
    trap 'rm -rf "$folder"' EXIT
    git archive "$1" | tar -x -C "$folder"
    cd "$folder"
fi
find Cargo.lock Cargo.toml crates platform -type f \
    \( -name '*.rs' -o -name '*.toml' -o -name Cargo.lock \) -not -path '*/tests/*' -print0 |
    LC_ALL=C sort -z | xargs -0 sha256sum | sha256sum | cut -c 1-16
