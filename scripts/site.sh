#!/usr/bin/env bash
# A small site as separate processes, from the settings files of an example.
#
#   scripts/site.sh start  [FOLDER]   start all processes
#   scripts/site.sh status [FOLDER]   show which run
#   scripts/site.sh stop   [FOLDER]   stop them as planned, routers first
#   scripts/site.sh smoke             start in a new folder, apply the example,
#                                     send a checked load, stop; fails if any fails
#
# FOLDER [default: target/site] holds secrets, data, logs and process ids.
# SITE names the example's settings [default: examples/souss/site], BIN the
# folder with the two binaries [default: target/debug].
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
command=${1:-help}
folder=${2:-$root/target/site}
site=${SITE:-$root/examples/souss/site}
bin=${BIN:-${CARGO_TARGET_DIR:-$root/target}/debug}
token=souss-demo-token
stop_seconds=30

names() { # names of all processes, in the order of their start
    for kind in platform store runner controller router; do
        (cd "$folder/settings" && ls "$kind"*.toml) | sed 's/\.toml$//'
    done
}

program() { # the command line of one process
    case $1 in
        controller-*) echo "$bin/courseshunt controller" ;;
        router-*) echo "$bin/courseshunt router" ;;
        runner-*) echo "$bin/courseshunt-lab standin runner" ;;
        *) echo "$bin/courseshunt-lab standin $1" ;;
    esac
}

runs() { # whether the process of that name runs
    [ -f "$folder/pids/$1" ] && kill -0 "$(cat "$folder/pids/$1")" 2>/dev/null
}

prepare() { # $1: IP number to listen on, in place of the example's
    mkdir -p "$folder"/{pids,logs,secrets,data,settings}
    for file in "$site"/*.toml; do
        sed "s/127\.0\.0\.1/$1/g" "$file" > "$folder/settings/$(basename "$file")"
    done
    if [ ! -f "$folder/secrets/cluster.key" ]; then
        head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$folder/secrets/cluster.key"
        head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$folder/secrets/runner.token"
        head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$folder/secrets/operator.token"
        echo "operate $(cat "$folder/secrets/operator.token")" > "$folder/secrets/operators"
        chmod 600 "$folder"/secrets/*
    fi
}

start() {
    for name in $(names); do
        if runs "$name"; then
            echo "$name runs already"
            continue
        fi
        # shellcheck disable=SC2046
        (cd "$folder" && exec $(program "$name") --config "settings/$name.toml" \
            > "logs/$name.log" 2>&1 < /dev/null) &
        echo $! > "$folder/pids/$name"
    done
    echo "started in $folder"
}

status() {
    local down=0
    for name in $(names); do
        if runs "$name"; then
            echo "$name runs as $(cat "$folder/pids/$name")"
        else
            echo "$name is down"
            down=1
        fi
    done
    return $down
}

stop_one() { # planned stop by id; an end by force after $stop_seconds
    runs "$1" || { rm -f "$folder/pids/$1"; return 0; }
    local pid
    pid=$(cat "$folder/pids/$1")
    kill -TERM "$pid"
    for _ in $(seq $((stop_seconds * 10))); do
        kill -0 "$pid" 2>/dev/null || { rm -f "$folder/pids/$1"; return 0; }
        sleep 0.1
    done
    echo "$1 ($pid) did not stop in $stop_seconds s; it is ended by force"
    kill -KILL "$pid"
    rm -f "$folder/pids/$1"
    return 1
}

stop() {
    local failed=0
    for name in $(names | tac); do
        stop_one "$name" || failed=1
    done
    return $failed
}

wait_ready() { # all routers have a confirmed configuration
    for _ in $(seq 600); do
        local waiting=0
        for file in "$folder"/settings/router-*.toml; do
            address=$(sed -n 's/^http_address = "\(.*\)"/\1/p' "$file")
            "$bin/courseshunt-lab" ready --address "$address" 2>/dev/null || waiting=1
        done
        [ $waiting = 0 ] && return 0
        sleep 0.1
    done
    echo "the routers did not become ready"
    return 1
}

apply() { # renders the example and applies it at the first controller that takes it
    local example documents=$folder/documents.toml
    example=$(dirname "$site")
    : > "$documents"
    for template in "$example"/templates/*.toml; do
        for tenant in "$example"/tenants/*.toml; do
            "$bin/courseshunt" render --template "$template" --parameters "$tenant" >> "$documents"
        done
    done
    for _ in $(seq 300); do
        for file in "$folder"/settings/controller-*.toml; do
            address=$(sed -n 's/^http_address = "\(.*\)"/\1/p' "$file")
            "$bin/courseshunt" apply --controller "$address" \
                --token-file "$folder/secrets/operator.token" "$documents" \
                >> "$folder/logs/apply.log" 2>&1 && return 0
        done
        sleep 0.1
    done
    echo "the documents were not accepted; the last lines:"
    tail -3 "$folder/logs/apply.log"
    return 1
}

smoke() {
    folder=$(mktemp -d)
    trap 'stop || true; rm -rf "$folder"' EXIT
    # An IP number of its own, so that two of these don't meet on one machine.
    prepare "127.$((RANDOM % 250 + 2)).$((RANDOM % 250 + 2)).1"
    start
    apply
    wait_ready
    local addresses
    addresses=$(sed -n 's/^http_address = "\(.*\)"/\1/p' "$folder"/settings/router-*.toml | paste -sd,)
    "$bin/courseshunt-lab" load --address "$addresses" --token $token --seconds 3 --rate 8 \
        --model climate-ctl-vents=2,climate-ctl-misting --class critical=1,interactive=1 \
        --once-only 0.2 --deadline-ms 60000 || { tail -n 5 "$folder"/logs/*.log; exit 1; }
    status
    stop
    echo "smoke passed"
}

case $command in
    start) prepare 127.0.0.1 && start ;;
    stop) stop ;;
    status) status ;;
    smoke) smoke ;;
    *) sed -n '2,14p' "$0"; exit 2 ;;
esac
