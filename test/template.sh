#!/bin/bash
# The template of deploy/ gives settings that masticvaned accepts, filled in
# with the fields of the platform's example, and with some of them unknown.
set -eu
BIN=$1
TEMPLATE=$(cd "$(dirname "$0")/.." && pwd)/deploy/node.ini
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

cat >"$DIR/fill.py" <<'EOF'
"""fill.py TEMPLATE [NAME=JSON...]: fills in the template as the platform does.
A field set to null is left out; WITHOUT_SECTIONS leaves sections as they are."""
import json
import re
import sys

FIELDS = json.loads("""
{"node": "front-casa-1", "role": "my-front", "ip": "10.1.0.10", "zone": "casa",
 "region": "ma-north", "internal_ports": [7720, 7735],
 "seed_addrs": ["10.1.0.10:8166", "10.2.0.40:8166", "10.3.0.7:8166"],
 "listen": {"datagram_addr": "10.1.0.10:8172", "ready": "10.1.0.10:8167",
            "control": "10.1.0.10:8166"},
 "limits": {"cpu_share": 0.055, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
            "link_mbps": 1000.0, "disk_mb": 0},
 "bounds": {"grace_s": 6, "config_ms": 3000, "flow_ttl_s": 60},
 "platform": {"address": "10.200.1.7:8169"}}""")


def look_up(path):
    found = FIELDS
    for part in path.split("."):
        if isinstance(found, list):
            found = found[int(part)] if int(part) < len(found) else None
        else:
            found = found.get(part) if isinstance(found, dict) else None
    return found


def render(value):
    if isinstance(value, list):
        return ",".join(value)
    return "" if value is None else str(value)


def render_section(match):
    table = look_up(match.group(1)) or {}
    return "".join(match.group(2).replace("{{@}}", key).replace("{{.|json}}", json.dumps(value))
                   for key, value in table.items())


text = open(sys.argv[1]).read()
sections = True
for change in sys.argv[2:]:
    if change == "WITHOUT_SECTIONS":
        sections = False
        continue
    name, _, value = change.partition("=")
    table = FIELDS
    *path, last = name.split(".")
    for part in path:
        table = table[part]
    table[last] = json.loads(value)
if sections:
    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", render_section, text, flags=re.S)
print(re.sub(r"\{\{([a-z0-9_.]+)\}\}", lambda m: render(look_up(m.group(1))), text), end="")
EOF

check() { # WHAT CHANGE...
    what=$1
    shift
    python3 "$DIR/fill.py" "$TEMPLATE" "$@" >"$DIR/node.ini"
    "$BIN/masticvaned" --config "$DIR/node.ini" --check || {
        echo "refused: $what" >&2
        cat "$DIR/node.ini" >&2
        exit 1
    }
}

check "the platform's example"
check "no limits of the VM" limits=null
check "limits that are not known here" 'limits={"new": [1, 2], "other": "x y"}'
check "a platform without sections" WITHOUT_SECTIONS
check "no bounds" bounds=null
check "bounds with fractions" bounds.config_ms=2500.5 bounds.grace_s=5.5 bounds.flow_ttl_s=0.5
check "a short bound" bounds.config_ms=1000
check "no seeds" 'seed_addrs=[]'
python3 "$DIR/fill.py" "$TEMPLATE" bounds.config_ms='"soon"' >"$DIR/node.ini"
if "$BIN/masticvaned" --config "$DIR/node.ini" --check 2>/dev/null; then
    echo "accepted limits.change_ms = soon" >&2
    exit 1
fi
