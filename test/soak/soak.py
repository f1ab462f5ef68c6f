#!/usr/bin/env python3
"""Fault soak: runs daemons as processes on loopback addresses against
stand-ins for the platform, injects faults, and checks what callers and backend
servers see.

soak.py DAEMON [--seed N] [--seconds N] [--nodes N] [--net N] [--plant NAME]
        [--only FAULT] [--keep]
"""
import argparse
import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import zlib

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_standin import SYN, Caller, Server, Store  # noqa: E402

# The users' bounds: until a draining server gets no new flow, until a change
# is in force, until flows succeed again after a fault, until a node is ready.
DRAIN_LIMIT_S, CONFIG_LIMIT_S, FLOW_RECOVERY_LIMIT_S, READY_LIMIT_S = 3.0, 3.0, 4.0, 12.0
HOST = "198.18.0.1"
ROUTES = {8443: "booking", 8080: "docs"}
EXTRA_PORT = 9000  # the route that the fault "change" adds and removes
SHARED_PORT = 8444  # the route whose service the fault "shares" replaces
COPY_AGE_S = 3.0  # age of the copy from which the store is restored
# Faults that --plant plants into the stand-ins: the run must fail with each.
# Most are named after the kind of violation that they cause.
PLANTS = ["leaving", "config", "tag", "bytes", "crossing", "twice", "answer", "recovery",
          "evacuated", "shares", "restored", "stray"]
# Started later than any server of a run.
LATER_START = 10**9
SETTINGS = """[node]
forwarding = tags
name = node-{i}
data_centre = {zone}
[listen]
packets = {ip}:7700
health = {ip}:7701
peers = {ip}:7702
metrics = {ip}:7703
copy = {ip}:7704
[peers]
seeds = {seeds}
[store]
addresses = {store}
[limits]
stop_seconds = 6
flow_seconds = 60
[log]
file = {log}
flow_sample = 1
lines_per_second = 2000
bytes_per_second = 0
"""


class Node:
    """An entry VM: a daemon process and the platform's view of its readiness."""

    def __init__(self, soak, index):
        self.soak, self.index, self.process = soak, index, None
        self.ip = f"127.{soak.net}.0.{index + 1}"
        self.zone = f"z{index % 2}"
        self.ready, self.failed_probes, self.stopping = False, 2, False
        self.settings_path = os.path.join(soak.folder, f"node{index}.ini")
        with open(self.settings_path, "w") as out:
            out.write(SETTINGS.format(i=index, zone=self.zone, ip=self.ip,
                                      seeds=",".join(f"127.{soak.net}.0.{i + 1}:7704"
                                                     for i in range(3)),
                                      store=f"127.{soak.net}.255.{index + 1}:8500",
                                      log=os.path.join(soak.folder, f"log{index}")))

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            self.soak.daemon, "--config", self.settings_path)

    async def stop(self, signal_number, time_limit=8.0):
        process, self.process = self.process, None
        process.send_signal(signal_number)
        try:
            await asyncio.wait_for(process.wait(), time_limit)
        except asyncio.TimeoutError:
            self.soak.record_violation("stop", f"node {self.index} still ran {time_limit:g} s after "
                                       f"{signal_number.name}")
            process.kill()
            await process.wait()

    async def probe(self):
        """Asks for readiness; two failed probes in a row take the node out of
        the fabric's rotation."""
        try:
            async with asyncio.timeout(0.4) if hasattr(asyncio, "timeout") else _NoTimeout():
                reader, writer = await asyncio.open_connection(self.ip, 7701)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                is_ready = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, asyncio.TimeoutError):
            is_ready = False
        self.failed_probes = 0 if is_ready else self.failed_probes + 1
        self.ready = self.failed_probes < 2


class _NoTimeout:
    """Stands for asyncio.timeout before Python 3.11: no time limit."""

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        return False


class Soak:
    """One run: nodes, stand-ins, faults and the violations seen.

    executions maps each request to the servers that ran it; services_by_port
    has all routes that the configuration may have in the run.
    """

    def __init__(self, options):
        self.rng = random.Random(options.seed)
        self.daemon, self.net, self.plant = options.daemon, options.net, options.plant
        self.only = options.only
        self.folder = tempfile.mkdtemp(prefix="masticvane-soak-")
        self.store = Store(self.rng)
        self.nodes = [Node(self, i) for i in range(options.nodes)]
        self.servers, self.callers = [], []
        self.routes, self.version = {SHARED_PORT: "booking", **ROUTES}, 0
        self.services_by_port = {EXTRA_PORT: ["docs"], SHARED_PORT: ["booking", "docs"],
                                 **{port: [service] for port, service in ROUTES.items()}}
        self.evacuated_at = {}  # by zone
        self.violations, self.outcomes = collections.Counter(), collections.Counter()
        self.violation_texts, self.executions = [], {}
        self.disturbed_until, self.store_disturbed_until = 0.0, 0.0
        self.next_id, self.loss_ratio = 100, 0.0
        self.extra_changed_at = None

    def record_violation(self, kind, what):
        self.violations[kind] += 1
        if len(self.violation_texts) < 20:
            self.violation_texts.append(f"{kind}: {what}")

    def services_of(self, host, port):
        return self.services_by_port.get(port, []) if host == HOST else []

    def kill_processes(self):
        """Kills the daemons that still run, also after an exception."""
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                os.kill(node.process.pid, signal.SIGKILL)

    def answer_suffix(self):
        """Appended to each answer; empty unless "answer" is planted."""
        return b"!" if self.plant == "answer" else b""

    def undisturbed_for(self, span):
        """Return: whether the last disturbance ended more than span s ago."""
        now = time.monotonic()
        return now - max(self.disturbed_until, self.store_disturbed_until) > span

    def check_new_flow(self, server):
        draining_s = server.draining_at and time.monotonic() - server.draining_at
        if (draining_s and draining_s > DRAIN_LIMIT_S + 0.3
                and self.undisturbed_for(FLOW_RECOVERY_LIMIT_S)):
            self.record_violation("leaving", f"{server.key} got a new flow {draining_s:.1f} s "
                                  f"after it announced draining, limit {DRAIN_LIMIT_S:g} s")

        evacuated_s = (server.zone in self.evacuated_at
                       and time.monotonic() - self.evacuated_at[server.zone])
        if (evacuated_s and evacuated_s > DRAIN_LIMIT_S + 0.3
                and self.undisturbed_for(FLOW_RECOVERY_LIMIT_S)):
            self.record_violation("evacuated", f"{server.key} got a new flow {evacuated_s:.1f} s "
                                  f"after its zone was evacuated, limit {DRAIN_LIMIT_S:g} s")

    def record_execution(self, request, server):
        self.executions.setdefault(request, []).append(server.key)
        if len(self.executions[request]) > 1:
            self.record_violation("twice", f"request {request} ran at {self.executions[request]}, "
                                  "expected one run")

    def send(self, packet):
        """Stands in for the fabric: hands the packet to a ready node, or to
        any if none is ready, by a hash of its addresses and ports; drops it
        with the probability loss_ratio."""
        ready = [n for n in self.nodes if n.ready] or self.nodes
        flow_key = f"{packet.src}{packet.sport}{packet.dst}{packet.dport}".encode()
        node = ready[zlib.crc32(flow_key) % len(ready)]
        if self.rng.random() >= self.loss_ratio:
            raw = packet.pack()
            if self.plant == "bytes" and packet.data:
                raw = raw[:-1] + b"!"
            if self.plant == "tag" and not packet.flags & SYN:
                raw = raw[:30] + b"\0\0\0\1" + raw[34:]
            self.callers[0].transport.sendto(raw, (node.ip, 7700))

    def write_config(self):
        self.version += self.rng.randint(1, 3)
        routes = [{"name": f"r{port}", "host": HOST, "prefix": f"/{port}/", "service": service,
                   "type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 150,
                   "priority": 1} for port, service in self.routes.items()]
        self.store.write("op/config", json.dumps({
            "version": self.version, "routes": routes,
            "services": [{"name": name, "max_conns": 2000} for name in ("booking", "docs")],
            "limits": {"idle_timeout_ms": 15000}}).encode())

    async def add_server(self, service):
        self.next_id += 1
        server = Server(self, self.next_id, service, f"z{self.next_id % 2}",
                        f"127.{self.net}.128.{self.next_id % 250 + 1}")
        await server.start()
        self.servers.append(server)
        return server

    # Callers

    async def call_until(self, caller, deadline):
        """Runs flows: 80 % with one request, 20 % with six.  A flow that fails
        is a violation unless a disturbance lasted, or had ended less than
        FLOW_RECOVERY_LIMIT_S before, when the flow began or when it ended, or
        one of the store came meanwhile."""
        while time.monotonic() < deadline:
            port = self.rng.choice([*ROUTES, SHARED_PORT])
            keeps_open = self.rng.random() < 0.2
            began = time.monotonic()
            disturbed_until = self.disturbed_until
            outcome = await caller.run_flow(HOST, port, 6 if keeps_open else 1,
                                            0.4 if keeps_open else 0.0)
            self.outcomes[outcome] += 1
            if self.plant == "twice":
                caller.request_count -= 1
            undisturbed = (began - max(disturbed_until, self.store_disturbed_until)
                           > FLOW_RECOVERY_LIMIT_S)
            if outcome != "good" and undisturbed and self.undisturbed_for(FLOW_RECOVERY_LIMIT_S):
                self.record_violation("flows", f"flow to port {port} ended as '{outcome}', expected "
                                      f"'good': no disturbance within {FLOW_RECOVERY_LIMIT_S:g} s")
            await asyncio.sleep(self.rng.uniform(0.0, 0.06))

    async def check_config_until(self, caller, deadline):
        """Checks that EXTRA_PORT is served exactly while the configuration
        has its route."""
        while time.monotonic() < deadline:
            changed_at, expected_served = self.extra_changed_at, EXTRA_PORT in self.routes
            outcome = await caller.run_flow(HOST, EXTRA_PORT, 1, 0.0)
            unchanged = changed_at is not None and changed_at == self.extra_changed_at
            # The flow may have begun 1.4 s ago, if its SYN got no answer.
            if (unchanged and time.monotonic() - changed_at > CONFIG_LIMIT_S + 1.6
                    and self.undisturbed_for(FLOW_RECOVERY_LIMIT_S)):
                if expected_served != (outcome == "good"):
                    self.record_violation("config", f"flow to port {EXTRA_PORT} ended as '{outcome}' "
                                          f"over {CONFIG_LIMIT_S:g} s after the change, expected it "
                                          f"{'served' if expected_served else 'not served'}")
            await asyncio.sleep(0.2)

    # Faults: each method with the parameter rng is a value of --only.

    def extend_disturbance(self, span):
        """Flows may fail for span s from now, and for the time to recover."""
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + span)

    async def roll(self, rng):
        """Planned restart of each node in turn; no flow may fail."""
        for node in self.nodes:
            if node.process:
                await node.stop(signal.SIGTERM)
                await node.start()
                await self.wait_ready(node)

    async def wait_ready(self, node, time_limit=READY_LIMIT_S):
        """Waits until the node is in rotation; after time_limit s it is a
        violation."""
        deadline = time.monotonic() + time_limit
        while not node.ready and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
        if not node.ready:
            self.record_violation("recovery", f"node {node.index} not ready within {time_limit:g} s")

    async def kill(self, rng):
        """Kills a node and restarts it up to 1 s later."""
        node = rng.choice(self.nodes)
        if node.process:
            self.extend_disturbance(2.0)
            await node.stop(signal.SIGKILL)
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            await node.start()

    async def start_alone(self, rng):
        """Kills and restarts a node whose calls the store does not answer; it
        must become ready with the help of its peers."""
        node = rng.choice(self.nodes)
        others_with_fault = [i for i in self.store.fault_of_node if i != node.index]
        if not node.process or others_with_fault:
            return
        self.extend_disturbance(2.0)
        self.store.fault_of_node[node.index] = "silent"
        await node.stop(signal.SIGKILL)
        await node.start()
        await asyncio.sleep(0.7)
        await self.wait_ready(node, 3.0)
        self.store.fault_of_node.pop(node.index, None)

    async def kill_all(self, rng):
        """Kills all nodes at once and restarts them."""
        self.extend_disturbance(4.0)
        for node in self.nodes:
            if node.process:
                await node.stop(signal.SIGKILL)
        await asyncio.sleep(0.5)
        for node in self.nodes:
            if not node.process and self.plant != "recovery":
                await node.start()

    async def blackout(self, rng):
        """Kills and restarts all nodes while each gets no answer or 503 from
        the store.  Then the store serves node 0 alone, which is a seed: all
        must become ready through that node.  Then it serves all again."""
        if self.store.fault_of_node:
            return
        self.extend_disturbance(14.0)
        all_indexes = range(len(self.nodes))
        self.store.fault_of_node.update({i: rng.choice(["silent", "busy"]) for i in all_indexes})
        running = [node for node in self.nodes if node.process]
        for node in running:
            await node.stop(signal.SIGKILL)
        for node in running:
            await node.start()
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        self.store.fault_of_node.pop(0, None)
        seed = self.nodes[0]
        if seed.process:
            for node in running:
                await self.wait_ready(node, 5.0)
        self.store.fault_of_node.clear()

    async def pause(self, rng):
        """Stops a node with SIGSTOP for up to 2.5 s."""
        node = rng.choice(self.nodes)
        if node.process:
            span = rng.uniform(0.5, 2.5)
            self.extend_disturbance(span + 1.0)
            process = node.process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(span)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def store_fault(self, rng):
        """The same fault of the store for some of the nodes."""
        store_fault = rng.choice(["silent", "reset", "busy", "lost"])
        node_indexes = [i for i in range(len(self.nodes)) if rng.random() < 0.6]
        span = rng.uniform(1.0, 4.0)
        self.store_disturbed_until = max(self.store_disturbed_until, time.monotonic() + span)
        for i in node_indexes:
            self.store.fault_of_node[i] = store_fault
        await asyncio.sleep(span)
        for i in node_indexes:
            self.store.fault_of_node.pop(i, None)

    async def forget(self, rng):
        """The store drops its history, so that each watch must start anew."""
        self.store_disturbed_until = max(self.store_disturbed_until, time.monotonic())
        self.store.compact()

    async def leave(self, rng):
        """A server announces draining and ends 5.5 s later; another server of
        the service starts at the beginning."""
        server = rng.choice([s for s in self.servers if s.alive and not s.draining_at])
        await self.add_server(server.service)
        server.announce("draining")
        if self.plant == "leaving":
            # The nodes see a ready server; the check takes it for one that has
            # been draining for 10 s.
            self.servers.remove(server)
            server.key = "servers/x"
            self.store.write(f"servers/i-{server.id:08x}", None)
            server.draining_at = time.monotonic() - 10
            server.announce = lambda state: None
            self.store.write(f"servers/i-{server.id:08x}",
                             json.dumps(server.entry("ready")).encode())
        else:
            await asyncio.sleep(DRAIN_LIMIT_S + 2.5)
            server.shut_down()
            self.servers.remove(server)

    async def crash(self, rng):
        """A server vanishes without notice and another one of its service
        starts.  2.5 s later the key of the first is deleted and a server of
        the other service starts at its address."""
        server = rng.choice([s for s in self.servers if s.alive and not s.draining_at])
        self.extend_disturbance(4.0)
        address, other_service = server.address, "docs" if server.service == "booking" else "booking"
        server.alive = False
        server.transport.close()
        await self.add_server(server.service)
        await asyncio.sleep(2.5)
        self.store.write(server.key, None)
        self.servers.remove(server)
        self.next_id += 1
        successor = Server(self, self.next_id, other_service, server.zone, address)
        await successor.start()
        self.servers.append(successor)

    async def lose(self, rng):
        """3 % of the callers' packets are lost for 1.5 s."""
        self.extend_disturbance(2.0)
        self.loss_ratio = 0.03
        await asyncio.sleep(1.5)
        self.loss_ratio = 0.0

    async def change(self, rng):
        """Adds or removes the route of EXTRA_PORT."""
        if EXTRA_PORT in self.routes:
            del self.routes[EXTRA_PORT]
        else:
            self.routes[EXTRA_PORT] = "docs"
        if self.plant != "config":
            self.write_config()
        self.extra_changed_at = time.monotonic()

    async def shares(self, rng):
        """Another service takes the new flows of SHARED_PORT; open flows stay."""
        if self.plant == "shares":
            del self.routes[SHARED_PORT]
            self.write_config()
        before = self.routes.get(SHARED_PORT, "booking")
        self.routes[SHARED_PORT] = "docs" if before == "booking" else "booking"
        self.write_config()

    async def evacuate(self, rng):
        """A zone is evacuated for some seconds.  An order that is in force is
        taken back first, so that a zone is left."""
        zone = rng.choice(["z0", "z1"])
        for other in list(self.evacuated_at):
            self.store.write(f"op/evacuate/{other}", None)
            del self.evacuated_at[other]
        self.store.write(f"op/evacuate/{'x' if self.plant == 'evacuated' else zone}", b"{}")
        began = self.evacuated_at[zone] = time.monotonic()
        await asyncio.sleep(rng.uniform(4.0, 8.0) if not self.plant else 30.0)
        if self.evacuated_at.get(zone) == began:
            del self.evacuated_at[zone]
            self.store.write(f"op/evacuate/{zone}", None)

    async def restore(self, rng):
        """The store comes back from a copy some seconds old.  Up to 1.5 s
        later the operator and the servers have written again what it lacks."""
        if not self.store.copies:
            return
        self.store_disturbed_until = max(self.store_disturbed_until, time.monotonic() + 2.0)
        if self.plant == "restored":
            # Changes that are lost, so that revisions go far back.
            for _ in range(200):
                self.write_config()
            await asyncio.sleep(1.0)
        self.store.restore(self.plant != "restored")
        await asyncio.sleep(rng.uniform(0.2, 0.5))
        self.write_config()
        for zone in ("z0", "z1"):
            order = b"{}" if zone in self.evacuated_at else None
            self.store.write(f"op/evacuate/{zone}", order)
        for server in self.servers:
            await asyncio.sleep(rng.uniform(0.0, 0.1))
            if server.alive:
                server.announce("draining" if server.draining_at else "ready")
        running = {server.key for server in self.servers}
        for key in list(self.store.items):
            if key.startswith("servers/") and key not in running:
                self.store.write(key, None)

    async def dark(self, rng):
        """All servers of a service end without a word, and start again at
        their addresses 3 s later, under open flows."""
        service = rng.choice(["booking", "docs"])
        self.extend_disturbance(4.0)
        ended = [s for s in self.servers if s.alive and s.service == service and not s.draining_at]
        for server in ended:
            server.alive = False
            server.transport.close()
        await asyncio.sleep(3.0)
        for server in ended:
            self.store.write(server.key, None)
            self.servers.remove(server)
            self.next_id += 1
            successor = Server(self, self.next_id, service, server.zone, server.address)
            await successor.start()
            self.servers.append(successor)

    def stray_entry(self, rng, server):
        """Return: key and value of an odd entry with the id or the address of
        server: a field missing or of another type, a service or state that
        isn't named, a key that names no server, or bytes that aren't JSON."""
        entry = server.entry(rng.choice(["ready", "draining"]))
        entry["born"] += rng.choice([0, LATER_START])
        key = rng.choice([f"servers/i-{server.id:08x}-{server.id:08x}",
                          f"servers/x-{LATER_START + rng.randrange(99):08x}"])
        oddity = rng.choice(["missing", "type", "service", "state", "key", "bytes"])
        if oddity == "missing":
            del entry[rng.choice(sorted(entry))]
        elif oddity == "type":
            entry[rng.choice(sorted(entry))] = rng.choice([None, True, {}, [1]])
        elif oddity == "service":
            entry["service"] = "audit"
        elif oddity == "state":
            entry["state"] = "new"
        elif oddity == "key":
            key = rng.choice([f"servers/old/i-{server.id:08x}", f"servers/\udcff-{server.id:08x}",
                              "servers/", f"servers/\0-{server.id:08x}"])
        value = b"\xff{" if oddity == "bytes" else json.dumps(entry).encode()
        return key, value

    async def stray(self, rng):
        """Another writer leaves odd entries among those of the servers for
        some seconds; no flow may fail."""
        keys = []
        for _ in range(rng.randint(1, 8)):
            server = rng.choice(self.servers)
            key, value = self.stray_entry(rng, server)
            if self.plant == "stray":
                key = f"servers/x-{LATER_START + len(keys):08x}"
                value = json.dumps(server.entry("ready") | {"born": LATER_START}).encode()
            self.store.write(key, value)
            keys.append(key)
            await asyncio.sleep(rng.uniform(0.0, 0.3))
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        for key in keys:
            self.store.write(key, None)

    # Course of a run

    async def probe_until(self, deadline):
        while time.monotonic() < deadline:
            await asyncio.gather(*(node.probe() for node in self.nodes))
            self.store.save(COPY_AGE_S)
            await asyncio.sleep(0.3)

    def schedule(self, seconds, seed):
        """Return: the faults as (seconds from the start, name, seed of the
        fault).  The plan depends on the arguments and options alone, not on
        timing, so that a seed repeats it."""
        kinds = ["change", "leave", "roll", "change", "kill", "pause", "store_fault", "forget",
                 "start_alone", "crash", "lose", "change", "kill_all", "blackout", "shares",
                 "evacuate", "restore", "dark", "stray"]
        if self.plant:
            # One fault, by default a change of the configuration, and then
            # the rest of the run without any, so that the planted fault shows.
            kind = {"leaving": "leave", "recovery": "kill_all", "evacuated": "evacuate",
                    "shares": "shares", "stray": "stray"}.get(self.plant, "change")
            print(f"  0.00 {kind}, planted: {self.plant}")
            if self.plant == "restored":
                return [(4.0, "restore", 0.5), (6.0, "change", 0.5), (seconds, "forget", 0.5)]
            if self.plant == "shares":
                return [(6.0, "shares", 0.5), (seconds, "forget", 0.5)]
            return [(0.0, kind, 0.5), (seconds, "forget", 0.5)]
        if self.only:
            kinds = [self.only]
        plan, at, rng = [], 0.0, random.Random(seed)
        while at < seconds:
            plan.append((at, rng.choice(kinds), rng.random()))
            at += rng.uniform(0.5, 4.0)
        for at, kind, _ in plan:
            print(f"{at:6.2f} {kind}")
        return plan

    async def inject_faults(self, plan):
        began, running = time.monotonic(), []
        for at, kind, fault_seed in plan:
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            fault = getattr(self, kind)(random.Random(fault_seed))
            running.append(asyncio.create_task(fault))
        await asyncio.gather(*running)

    async def run(self, seconds, seed):
        stores = [await self.store.serve(i, f"127.{self.net}.255.{i + 1}", 8500)
                  for i in range(len(self.nodes))]
        self.write_config()
        for service in ["booking"] * 5 + ["docs"] * 3:
            await self.add_server(service)
        if self.plant == "crossing":
            # The store names the wrong service for one server.
            docs = self.servers[-1]
            text = base64.b64decode(self.store.items[docs.key]["value"])
            self.store.write(docs.key, text.replace(b"docs", b"booking"))
        for i in range(12):
            caller = Caller(self, f"127.{self.net}.100.{i + 1}")
            await caller.start()
            self.callers.append(caller)
        for node in self.nodes:
            await node.start()
        began = time.monotonic()
        end = began + seconds
        probes = asyncio.create_task(self.probe_until(end + 30))
        for node in self.nodes:
            await self.wait_ready(node)
        self.extend_disturbance(0.0)
        tasks = [asyncio.create_task(self.call_until(c, end + 8)) for c in self.callers[1:]]
        tasks.append(asyncio.create_task(self.check_config_until(self.callers[0], end + 8)))
        await self.inject_faults(self.schedule(seconds, seed))
        await asyncio.gather(*tasks)
        good_flows = self.outcomes["good"]
        final_outcomes = await asyncio.gather(*(c.run_flow(HOST, 8443, 1, 0.0) for c in self.callers))
        if final_outcomes.count("good") < len(final_outcomes):
            self.record_violation("recovery", f"last flows of the callers ended as {final_outcomes}, "
                                  "expected 'good' for all")
        probes.cancel()
        for node in self.nodes:
            if node.process:
                await node.stop(signal.SIGTERM)
        for store in stores:
            store.close()
        return good_flows


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--net", type=int, default=90)
    parser.add_argument("--plant", choices=PLANTS, help="plant a fault; the run must fail")
    parser.add_argument("--only", help="inject this kind of fault alone")
    parser.add_argument("--keep", action="store_true", help="keep the logs also when the run passes")
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.seconds:g} s, {options.nodes} nodes")
    soak = Soak(options)
    try:
        good_flows = asyncio.run(soak.run(options.seconds, options.seed))
    finally:
        soak.kill_processes()
    print(f"flows: {dict(soak.outcomes)}, {soak.store.calls} calls of the store")
    for line in soak.violation_texts:
        print("VIOLATION", line)
    violation_count = sum(soak.violations.values())
    if good_flows < 50:
        violation_count += 1
        print(f"VIOLATION {good_flows} flows were served, expected at least 50")
    if violation_count or options.keep:
        print(f"logs: {soak.folder}")
    else:
        shutil.rmtree(soak.folder)
    print(f"{0 if violation_count else 1} passed, {1 if violation_count else 0} failed")
    sys.exit(1 if violation_count else 0)


if __name__ == "__main__":
    main()
