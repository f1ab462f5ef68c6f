# Functions of the process tests: start a store and entry VMs on loopback
# addresses and operate them.  Sourced with the arguments BIN and EXAMPLES: the
# folders of the built programs and of the example deployments.
BIN=$1
EXAMPLES=$2
DIR=$(mktemp -d)
PIDS=()
declare -A NODE_PID
cleanup() {
    for p in "${PIDS[@]}"; do kill "$p" 2>/dev/null || true; done
    for p in "${PIDS[@]}"; do wait "$p" 2>/dev/null || true; done
    rm -rf "$DIR"
}
trap cleanup EXIT

# prepare_deployment NET NODES: writes the key file and the settings of entry
# VMs 1 to NODES at 127.NET.0.1 to 127.NET.0.NODES; the store is 127.NET.255.1,
# the callers receive at 127.NET.254.1.
prepare_deployment() {
    NET=$1
    NODES=$2
    STORE=127.$NET.255.1:8500
    CALLERS_ADDRESS=127.$NET.254.1:7000
    printf '1 %064d\n' "$NET" >"$DIR/keys"
    : >"$DIR/nodes.ini"
    for i in $(seq 1 "$NODES"); do
        printf '[peer %d]\naddress = 127.%d.0.%d\n' "$i" "$NET" "$i" >>"$DIR/nodes.ini"
    done
    for i in $(seq 1 "$NODES"); do
        { printf '[node]\nid = %d\naddress = 127.%d.0.%d\ndata_centre = casa\ndeployment = atlas-jet\nkey_file = %s\n' \
            "$i" "$NET" "$i" "$DIR/keys"
          printf '[store]\naddresses = %s\n[log]\nfile = %s\n' "$STORE" "$DIR/log$i"
          cat "$DIR/nodes.ini"; } >"$DIR/node$i.ini"
    done
    OPERATOR_OPTIONS=(--store "$STORE" --nodes "$DIR/nodes.ini" --key-file "$DIR/keys" --deployment atlas-jet)
}

start_store() {
    "$BIN/standin-store" "127.$NET.255.1" 8500 &
    PIDS+=($!)
    STORE_PID=$!
    sleep 0.3
}

start_node() { # node
    "$BIN/masticvaned" --config "$DIR/node$1.ini" &
    PIDS+=($!)
    NODE_PID[$1]=$!
}

run_masticvane() { # command and its arguments
    "$BIN/masticvane" "$@" "${OPERATOR_OPTIONS[@]}"
}

fail() {
    echo "FAILED: $*"
    exit 1
}
