#!/usr/bin/env python3
"""Prints the measurements of a demo run; the exit code is 1 if a check failed.

demo_report.py DIRECTORY ENDPOINT
"""
import json
import sys

directory, endpoint = sys.argv[1], sys.argv[2]
callers = json.load(open(f"{directory}/callers.json"))
backends = json.load(open(f"{directory}/backends.json"))
dump = json.load(open(f"{directory}/dump.json"))
retired_at_us = int(open(f"{directory}/retired").read())
retired_server = next(b for b in backends["backends"] if b["name"] == endpoint)
last_flow_after_s = max(0, (retired_server["last_new_flow_us"] - retired_at_us) / 1e6)
print(f"   flows {callers['flows_opened']}, packets {callers['packets']}, "
      f"received by backend servers {backends['packets']}")
print(f"   requests {callers['requests_sent']}: answered {callers['answered']}, "
      f"not run {callers['not_run']}, unknown {callers['unknown']}, "
      f"retried elsewhere {callers['retried_elsewhere']}")
print(f"   latency mean {callers['latency_us']['mean'] / 1000:.1f} ms, "
      f"p99 {callers['latency_us']['p99'] / 1000:.1f} ms")
print(f"   node 1: version {dump['config_version']}, "
      f"{dump['counters']['packets_relayed']} of "
      f"{dump['counters']['packets_in']} packets relayed")
print(f"   last new flow to {endpoint}: {last_flow_after_s:.1f} s after its retirement")
checks = {
    "wrong-service deliveries": backends["wrong_service"],
    "packets of broken flows": backends["broken_flow_packets"],
    "doubled runs": backends["doubled_runs"],
    "cut requests": callers["cut"],
    "wrong or partial answers": callers["wrong_answers"],
    "flows without a backend server": callers["flows_opened"] - backends["flows"],
    "seconds over 3 until the last new flow": max(0, last_flow_after_s - 3),
}
for name, value in checks.items():
    print(f"   {name}: {value:g}{'' if value == 0 else '   FAILED, expected 0'}")
sys.exit(any(checks.values()))
