#!/usr/bin/env python3
"""Fault soak: real daemons as processes on loopback, stand-ins around them,
faults from outside.  What is checked is what callers and backend servers see.

soak.py DAEMON [--seed N] [--seconds N] [--nodes N] [--net N] [--plant NAME]
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

# The users' bounds, in seconds.
DRAIN, CONFIG, CONTACT, RECOVER = 3.0, 3.0, 4.0, 12.0
HOST = "198.18.0.1"
ROUTES = {8443: "booking", 8080: "docs"}
EXTRA_PORT = 9000
PLANTS = ["leaving", "config", "tag", "bytes", "crossing", "twice", "answer", "recovery"]
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
    def __init__(self, world, index):
        self.world, self.index, self.process = world, index, None
        self.ip = f"127.{world.net}.0.{index + 1}"
        self.zone = f"z{index % 2}"
        self.ready, self.misses, self.stopping = False, 2, False
        self.config = os.path.join(world.folder, f"node{index}.ini")
        with open(self.config, "w") as out:
            out.write(SETTINGS.format(i=index, zone=self.zone, ip=self.ip,
                                      seeds=",".join(f"127.{world.net}.0.{i + 1}:7704"
                                                     for i in range(3)),
                                      store=f"127.{world.net}.255.{index + 1}:8500",
                                      log=os.path.join(world.folder, f"log{index}")))

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            self.world.daemon, "--config", self.config)

    async def end(self, how, limit=8.0):
        process, self.process = self.process, None
        process.send_signal(how)
        try:
            await asyncio.wait_for(process.wait(), limit)
        except asyncio.TimeoutError:
            self.world.violation("stop", f"node {self.index} did not end in time")
            process.kill()
            await process.wait()

    async def probe(self):
        try:
            async with asyncio.timeout(0.4) if hasattr(asyncio, "timeout") else _Null():
                reader, writer = await asyncio.open_connection(self.ip, 7701)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                good = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, asyncio.TimeoutError):
            good = False
        self.misses = 0 if good else self.misses + 1
        self.ready = self.misses < 2


class _Null:
    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        return False


class World:
    def __init__(self, options):
        self.rng = random.Random(options.seed)
        self.daemon, self.net, self.plant = options.daemon, options.net, options.plant
        self.only = options.only
        self.folder = tempfile.mkdtemp(prefix="masticvane-soak-")
        self.store = Store(self.rng)
        self.nodes = [Node(self, i) for i in range(options.nodes)]
        self.servers, self.callers = [], []
        self.routes, self.version = dict(ROUTES), 0
        self.ever = {EXTRA_PORT: "docs", **ROUTES}
        self.violations, self.outcomes = collections.Counter(), collections.Counter()
        self.details, self.requests = [], {}
        self.trouble_until, self.store_trouble_until = 0.0, 0.0
        self.next_id, self.loss = 100, 0.0
        self.extra_since = None

    def violation(self, kind, what):
        self.violations[kind] += 1
        if len(self.details) < 20:
            self.details.append(f"{kind}: {what}")

    def service_of(self, host, port):
        return self.ever.get(port) if host == HOST else None

    def end_all(self):
        """Whatever went wrong, nothing that was started goes on."""
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                os.kill(node.process.pid, signal.SIGKILL)

    def suffix(self):
        """Of each answer; empty but for a planted fault."""
        return b"!" if self.plant == "answer" else b""

    def calm(self, span):
        now = time.monotonic()
        return now - max(self.trouble_until, self.store_trouble_until) > span

    def saw_opening(self, server):
        late = server.draining_at and time.monotonic() - server.draining_at
        if late and late > DRAIN + 0.3 and self.calm(CONTACT):
            self.violation("leaving", f"{server.key} got new work {late:.1f} s after it said so")

    def ran(self, request, server):
        self.requests.setdefault(request, []).append(server.key)
        if len(self.requests[request]) > 1:
            self.violation("twice", f"{request} ran at {self.requests[request]}")

    def send(self, packet):
        """The fabric: a hash over the nodes in rotation."""
        ready = [n for n in self.nodes if n.ready] or self.nodes
        name = f"{packet.src}{packet.sport}{packet.dst}{packet.dport}".encode()
        node = ready[zlib.crc32(name) % len(ready)]
        if self.rng.random() >= self.loss:
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

    async def call_forever(self, caller, end):
        while time.monotonic() < end:
            port = self.rng.choice(list(ROUTES))
            keeps = self.rng.random() < 0.2
            began = time.monotonic()
            faults = self.trouble_until
            outcome = await caller.flow(HOST, port, 6 if keeps else 1, 0.4 if keeps else 0.0)
            self.outcomes[outcome] += 1
            if self.plant == "twice":
                caller.count -= 1
            undisturbed = began - max(faults, self.store_trouble_until) > CONTACT
            if outcome != "good" and undisturbed and self.calm(CONTACT):
                self.violation("flows", f"{outcome} on port {port} though only planned work went on")
            await asyncio.sleep(self.rng.uniform(0.0, 0.06))

    async def check_config_forever(self, caller, end):
        while time.monotonic() < end:
            since, wanted = self.extra_since, EXTRA_PORT in self.routes
            outcome = await caller.flow(HOST, EXTRA_PORT, 1, 0.0)
            held = since is not None and since == self.extra_since
            if held and time.monotonic() - since > CONFIG + 1.6 and self.calm(CONTACT):
                if wanted != (outcome == "good"):
                    self.violation("config", f"port {EXTRA_PORT} {outcome}, wanted {wanted}")
            await asyncio.sleep(0.2)

    # Faults

    def disturb(self, span):
        self.trouble_until = max(self.trouble_until, time.monotonic() + span)

    async def roll(self, rng):
        for node in self.nodes:
            if node.process:
                await node.end(signal.SIGTERM)
                await node.start()
                await self.wait_ready(node)

    async def wait_ready(self, node, limit=RECOVER):
        end = time.monotonic() + limit
        while not node.ready and time.monotonic() < end:
            await asyncio.sleep(0.1)
        if not node.ready:
            self.violation("recovery", f"node {node.index} not ready in {limit} s")

    async def kill(self, rng):
        node = rng.choice(self.nodes)
        if node.process:
            self.disturb(2.0)
            await node.end(signal.SIGKILL)
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            await node.start()

    async def start_alone(self, rng):
        """A node starts while the store is silent towards it alone."""
        node = rng.choice(self.nodes)
        busy = [i for i in self.store.mode if i != node.index]
        if not node.process or busy:
            return
        self.disturb(2.0)
        self.store.mode[node.index] = "silent"
        await node.end(signal.SIGKILL)
        await node.start()
        await asyncio.sleep(0.7)
        await self.wait_ready(node, 3.0)
        self.store.mode.pop(node.index, None)

    async def kill_all(self, rng):
        self.disturb(4.0)
        for node in self.nodes:
            if node.process:
                await node.end(signal.SIGKILL)
        await asyncio.sleep(0.5)
        for node in self.nodes:
            if not node.process and self.plant != "recovery":
                await node.start()

    async def blackout(self, rng):
        """All power is lost while the store is away; then it answers one node
        only, which is a seed, and later all."""
        if self.store.mode:
            return
        self.disturb(14.0)
        every = range(len(self.nodes))
        self.store.mode.update({i: rng.choice(["silent", "busy"]) for i in every})
        running = [node for node in self.nodes if node.process]
        for node in running:
            await node.end(signal.SIGKILL)
        for node in running:
            await node.start()
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        self.store.mode.pop(0, None)
        seed = self.nodes[0]
        if seed.process:
            for node in running:
                await self.wait_ready(node, 5.0)
        self.store.mode.clear()

    async def pause(self, rng):
        node = rng.choice(self.nodes)
        if node.process:
            span = rng.uniform(0.5, 2.5)
            self.disturb(span + 1.0)
            process = node.process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(span)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def store_fault(self, rng):
        mode = rng.choice(["silent", "reset", "busy", "lost"])
        chosen = [i for i in range(len(self.nodes)) if rng.random() < 0.6]
        span = rng.uniform(1.0, 4.0)
        self.store_trouble_until = max(self.store_trouble_until, time.monotonic() + span)
        for i in chosen:
            self.store.mode[i] = mode
        await asyncio.sleep(span)
        for i in chosen:
            self.store.mode.pop(i, None)

    async def forget(self, rng):
        self.store_trouble_until = max(self.store_trouble_until, time.monotonic())
        self.store.forget()

    async def leave(self, rng):
        server = rng.choice([s for s in self.servers if s.alive and not s.draining_at])
        await self.add_server(server.service)
        server.announce("draining")
        if self.plant == "leaving":
            self.servers.remove(server)
            server.key = "servers/x"
            self.store.write(f"servers/i-{server.id:08x}", None)
            server.draining_at = time.monotonic() - 10
            server.announce = lambda state: None
            self.store.write(f"servers/i-{server.id:08x}", json.dumps({
                "service": server.service, "address": f"{server.address}:8000",
                "zone": server.zone, "slots": 8, "state": "ready", "born": server.id}).encode())
        else:
            await asyncio.sleep(DRAIN + 2.5)
            server.end()
            self.servers.remove(server)

    async def crash(self, rng):
        server = rng.choice([s for s in self.servers if s.alive and not s.draining_at])
        self.disturb(4.0)
        address, other = server.address, "docs" if server.service == "booking" else "booking"
        server.alive = False
        server.transport.close()
        await self.add_server(server.service)
        await asyncio.sleep(2.5)
        self.store.write(server.key, None)
        self.servers.remove(server)
        self.next_id += 1
        heir = Server(self, self.next_id, other, server.zone, address)
        await heir.start()
        self.servers.append(heir)

    async def lose(self, rng):
        self.disturb(2.0)
        self.loss = 0.03
        await asyncio.sleep(1.5)
        self.loss = 0.0

    async def change(self, rng):
        if EXTRA_PORT in self.routes:
            del self.routes[EXTRA_PORT]
        else:
            self.routes[EXTRA_PORT] = "docs"
        if self.plant != "config":
            self.write_config()
        self.extra_since = time.monotonic()

    # The whole

    async def probe_forever(self, end):
        while time.monotonic() < end:
            await asyncio.gather(*(node.probe() for node in self.nodes))
            await asyncio.sleep(0.3)

    def schedule(self, seconds, seed):
        """The same for a seed whatever the machine does."""
        kinds = ["change", "leave", "roll", "change", "kill", "pause", "store_fault", "forget",
                 "start_alone", "crash", "lose", "change", "kill_all", "blackout"]
        if self.plant:
            # One calm change, or what the planted fault needs, and time to see it.
            kind = {"leaving": "leave", "recovery": "kill_all"}.get(self.plant, "change")
            print(f"  0.00 {kind}, planted: {self.plant}")
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

    async def faults(self, plan):
        began, running = time.monotonic(), []
        for at, kind, own_seed in plan:
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            fault = getattr(self, kind)(random.Random(own_seed))
            running.append(asyncio.create_task(fault))
        await asyncio.gather(*running)

    async def play(self, seconds, seed):
        stores = [await self.store.serve(i, f"127.{self.net}.255.{i + 1}", 8500)
                  for i in range(len(self.nodes))]
        self.write_config()
        for service in ["booking"] * 5 + ["docs"] * 3:
            await self.add_server(service)
        if self.plant == "crossing":
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
        probes = asyncio.create_task(self.probe_forever(end + 30))
        for node in self.nodes:
            await self.wait_ready(node)
        self.disturb(0.0)
        work = [asyncio.create_task(self.call_forever(c, end + 8)) for c in self.callers[1:]]
        work.append(asyncio.create_task(self.check_config_forever(self.callers[0], end + 8)))
        await self.faults(self.schedule(seconds, seed))
        await asyncio.gather(*work)
        before = self.outcomes["good"]
        last = await asyncio.gather(*(c.flow(HOST, 8443, 1, 0.0) for c in self.callers))
        if last.count("good") < len(last):
            self.violation("recovery", f"at the end: {last}")
        probes.cancel()
        for node in self.nodes:
            if node.process:
                await node.end(signal.SIGTERM)
        for store in stores:
            store.close()
        return before


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--net", type=int, default=90)
    parser.add_argument("--plant", choices=PLANTS, help="a fault of ours: red is right")
    parser.add_argument("--only", help="one kind of fault, again and again")
    parser.add_argument("--keep", action="store_true", help="keep the logs of a green run")
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.seconds:g} s, {options.nodes} nodes")
    world = World(options)
    try:
        good = asyncio.run(world.play(options.seconds, options.seed))
    finally:
        world.end_all()
    print(f"flows: {dict(world.outcomes)}, {world.store.calls} calls of the store")
    for line in world.details:
        print("VIOLATION", line)
    red = sum(world.violations.values())
    if good < 50:
        red += 1
        print("VIOLATION too few flows were served")
    if red or options.keep:
        print(f"logs: {world.folder}")
    else:
        shutil.rmtree(world.folder)
    print(f"{0 if red else 1} passed, {1 if red else 0} failed")
    sys.exit(1 if red else 0)


if __name__ == "__main__":
    main()
