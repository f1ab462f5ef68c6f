"""Stand-ins for the platform of masticvane's users, on loopback addresses.

Store, endpoints, clients and routers as the users' pages describe them, and
the real daemon as a process with the deploy file's command and template.  One
run of a case is one asyncio program: see World.
"""
import asyncio
import base64
import collections
import json
import os
import random
import re
import shutil
import signal
import struct
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SYN, RST, ACK, FIN = 128, 32, 8, 1
HEADER = struct.Struct(">B3sHII4sH4sHII")
PACKETS_PORT, READY_PORT, CONTROL_PORT, PEERS_PORT, STORE_PORT = 8172, 8167, 8166, 7720, 8169
SERVER_PORT = 8080
HOST = "198.18.0.1"
KEY = b"not known to the system"
BEAT_S = 1.2
# Retransmissions of an end: after 200 ms, doubled up to 1.6 s, 8 at most.
RETRIES_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
SYN_COPIES_S, SYN_LIMIT_S = (0.2, 0.6), 1.4
BOUNDS = dict(seed_lag_s=3, reuse_after_s=2, contact_ms=4000, ack_ms=5000, catch_up_s=4,
              drain_ms=3000, grace_s=6, loss_slack_ms=200, config_ms=3000,
              rollback_slack_ms=250, max_stretch_ms=12000, recover_s=12, reorder_ms=2000,
              flow_ttl_s=60)


def raw_address(text):
    return bytes(int(part) for part in text.split("."))


class Packet:
    """A packet of the platform; echo is not part of the sum."""

    def __init__(self, flags, seq, ack, src, sport, dst, dport, echo=0, data=b""):
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.sum = None

    def keyed_sum(self):
        fields = f"{self.flags}|{len(self.data)}|{self.seq}|{self.ack}|{self.src}|{self.sport}|" \
                 f"{self.dst}|{self.dport}"
        return zlib.crc32(KEY + fields.encode() + self.data) or 1

    def pack(self):
        return HEADER.pack(self.flags, b"\0\0\0", len(self.data), self.seq, self.ack,
                           raw_address(self.src), self.dport, raw_address(self.dst), self.sport,
                           self.keyed_sum(), self.echo) + self.data

    @classmethod
    def parse(cls, raw):
        flags, _, length, seq, ack, src, dport, dst, sport, total, echo = HEADER.unpack(raw[:34])
        packet = cls(flags, seq, ack, ".".join(map(str, src)), sport, ".".join(map(str, dst)),
                     dport, echo, raw[34:])
        packet.sum = total
        packet.is_intact = total == packet.keyed_sum() and length == len(packet.data)
        return packet


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, _):
        self.receive(data)


async def open_udp(address, port, receive):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(receive), local_addr=(address, port))
    return transport


class Store:
    """The platform's store.  fault is None, "silent", "busy" or "reset"; fault_of
    has one for the calls of a node."""

    LATENCY_S = 0.004
    PAGE_ITEMS = 500

    def __init__(self, world):
        self.world = world
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.compacted = 1, 0
        self.fault, self.fault_of, self.era = None, {}, None
        self.watched_by = {}   # node -> time of its last watch that was answered
        self.changed = asyncio.Event()
        self.next_lease = 77000
        self.connections = set()

    def write(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            if key not in self.items:
                return
            del self.items[key]
            item = {"key": key, "rev": self.revision, "tombstone": True}
        else:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                    "created": created, "lease": lease}
            self.items[key] = item
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, address):
        self.server = await asyncio.start_server(self.client, address, STORE_PORT)

    async def client(self, reader, writer):
        self.connections.add(writer)
        node = self.world.owner_of(writer.get_extra_info("peername")[1])
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                found = re.search(r"content-length: *(\d+)", head.lower())
                body = await reader.readexactly(int(found.group(1))) if found else b""
                fault = self.fault or self.fault_of.get(node)
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "reset":
                    writer.transport.abort()
                    return
                await asyncio.sleep(self.LATENCY_S)
                path, _, query = target.partition("?")
                fields = dict(part.split("=", 1) for part in query.split("&") if part)
                status, answer = ((503, {}) if fault == "busy" else await self.answer(
                    method, path, fields, json.loads(body or b"{}")))
                fault = self.fault or self.fault_of.get(node)
                if fault == "silent":
                    await asyncio.sleep(3600)
                text = json.dumps(answer).encode()
                era = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
                writer.write(f"HTTP/1.1 {status} X\r\n{era}Content-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
                if path == "/v1/kv-watch":
                    self.watched_by[node] = time.monotonic()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, method, path, fields, body):
        if path == "/v1/kv-key":
            item = self.items.get(fields["key"].replace("%2F", "/"))
            return (200, item | {"store_revision": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            after = fields.get("after", "").replace("%2F", "/")
            keys = [k for k in sorted(self.items) if k.startswith(fields.get("prefix", ""))
                    and k > after]
            page = keys[:self.PAGE_ITEMS]
            return 200, {"items": [self.items[k] for k in page], "has_more": len(keys) > len(page),
                         "store_revision": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(fields.get("prefix", ""), int(fields["after"]),
                                    int(fields["wait_ms"]) / 1000)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = body["ttl_ms"]
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            return (200, {"ttl_ms": self.leases[lease]}) if lease in self.leases else (404, {})
        if path == "/v1/kv-txn" and method == "POST":
            return self.transact(body)
        return 404, {}

    def transact(self, body):
        written = [row["key"] for row in body.get("writes", [])] + body.get("delete", [])
        if any(key.startswith(("op/", "servers/")) for key in written):
            return 403, {}
        current = lambda key: self.items[key]["rev"] if key in self.items else 0
        if any(current(row["key"]) != row["rev"] for row in body.get("expect", [])):
            return 412, {"items": [self.items[row["key"]] for row in body["expect"]
                                   if row["key"] in self.items]}
        if any(row.get("lease", 0) not in {0, *self.leases} for row in body.get("writes", [])):
            return 404, {}
        for row in body.get("writes", []):
            self.write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("delete", []):
            self.write(key, None)
        return 200, {"rev": self.revision}

    async def watch(self, prefix, after, wait):
        deadline = time.monotonic() + wait
        while True:
            if not self.compacted <= after <= self.revision:
                return 410, {}
            events = [i for i in self.history if i["rev"] > after and i["key"].startswith(prefix)]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass


class Endpoint:
    """One lifetime of an endpoint.  It drops what it doesn't hold, resets flows
    that it doesn't hold, and repeats its answers until they are acknowledged."""

    def __init__(self, world, number, service, zone, address, work_s, slots=2, name=None,
                 born_skew_s=0.0):
        self.world, self.service, self.zone, self.address = world, service, zone, address
        self.work_s, self.slots, self.id = work_s, slots, number
        self.name = name or f"i-{number:08x}"
        self.born = int((time.time() + born_skew_s) * 1000)
        self.started_at = time.monotonic()
        self.state, self.seq, self.alive, self.flows = "ready", 0, True, {}
        self.draining_at, self.warmup_s = None, 0.0

    def entry(self):
        left = max(0, int((self.started_at + self.warmup_s - time.monotonic()) * 1000))
        return {"service": self.service, "address": f"{self.address}:{SERVER_PORT}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "warmup_left_ms": left, "seq": self.seq, "born": self.born}

    async def start(self):
        self.transport = await open_udp(self.address, SERVER_PORT, self.receive)
        self.beats = self.world.spawn(self.beat())

    async def beat(self):
        while self.alive:
            self.write()
            await asyncio.sleep(BEAT_S * random.uniform(0.9, 1.1))

    def write(self):
        if self.world.store.fault is None:
            self.seq += 1
            self.world.store.write(f"servers/{self.name}", json.dumps(self.entry()).encode())

    def drain(self):
        """Planned shutdown: reports draining; the store's answer is the ack."""
        self.state = "draining"
        self.write()
        self.draining_at = time.monotonic()
        self.world.note("drain", endpoint=self.name)

    def end(self, removes_entry=True):
        self.alive = False
        self.beats.cancel()
        self.transport.close()
        if removes_entry:
            self.world.store.write(f"servers/{self.name}", None)
        self.world.note("endpoint-ended", endpoint=self.name)

    def send(self, packet):
        self.transport.sendto(packet.pack(), (packet.dst, PACKETS_PORT))

    def answer_to(self, packet, flags, seq, ack, data=b""):
        return Packet(flags, seq & 0xffffffff, ack & 0xffffffff, packet.dst, packet.dport,
                      packet.src, packet.sport, packet.echo, data)

    def receive(self, raw):
        if len(raw) < 42:
            self.world.violation("UNASKED", f"{self.name} got {len(raw)} bytes")
            return
        packet, intended = Packet.parse(raw[8:]), int.from_bytes(raw[:8], "big")
        if not packet.is_intact:
            self.world.violation("UNASKED", f"{self.name} got a packet that its sender did not "
                                 "write so")
            return
        if intended not in (0, self.id):
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["c"] != packet.seq:
                flow = self.flows[key] = {"c": packet.seq, "s": random.getrandbits(31),
                                          "open": False, "done": {}, "acked": 0,
                                          "arrived": time.monotonic()}
            self.send(self.answer_to(packet, SYN | ACK, flow["s"], packet.seq + 1))
            return
        if flow is None:
            self.send(self.answer_to(packet, RST | ACK, packet.ack, packet.seq))
            return
        flow["echo"], flow["acked"] = packet.echo, max(flow["acked"], packet.ack)
        if not flow["open"] and packet.ack == flow["s"] + 1:
            flow["open"] = True
            self.world.flow_opened(key, self, flow["arrived"])
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data:
            if packet.seq not in flow["done"]:
                flow["done"][packet.seq] = None
                flow["next"] = packet.seq + len(packet.data)
                self.world.spawn(self.run(packet, flow, key))
            # "a server that lives acknowledges": at once.
            if flow["done"][packet.seq] is None:
                self.send(self.answer_to(packet, ACK, flow.get("sent", flow["s"] + 1),
                                         packet.seq + len(packet.data)))
            else:
                self.send(flow["done"][packet.seq])
        if packet.flags & FIN:
            self.send(self.answer_to(packet, ACK | FIN, packet.ack, packet.seq + 1))
            flow["closed"] = True

    async def run(self, packet, flow, key):
        """Runs a request once and repeats the answer until it is acknowledged."""
        self.world.ran(packet, self)
        await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3))
        if not self.alive or self.flows.get(key) is not flow:
            return
        request = re.search(rb"Request-Id: (\S+)", packet.data).group(1)
        body = b"%s %s %s" % (self.service.encode(), self.name.encode(), request)
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        seq = flow.get("sent", flow["s"] + 1)
        flow["sent"] = seq + len(data)
        answer = self.answer_to(packet, ACK, seq, packet.seq + len(packet.data), data)
        flow["done"][packet.seq] = answer
        for pause in (*RETRIES_S, None):
            if not self.alive or self.flows.get(key) is not flow:
                return
            answer.echo = flow["echo"]
            self.send(answer)
            if pause is None:
                return
            await asyncio.sleep(pause)
            if flow["acked"] >= seq + len(data):
                return


class Client:
    """Opens flows from one address in a zone."""

    def __init__(self, world, address, zone):
        self.world, self.address, self.zone = world, address, zone
        self.queues, self.next_port = {}, 20000

    async def start(self):
        self.transport = await open_udp(self.address, PACKETS_PORT, self.receive)

    def receive(self, raw):
        if len(raw) < 34:
            self.world.violation("MIXED", "a client got a packet that is none")
            return
        packet = Packet.parse(raw)
        own_reset = packet.flags == RST and packet.sum == 0 and not packet.data
        if not own_reset and not packet.is_intact:
            self.world.violation("MIXED", "a client got a packet that its sender did not write so")
            return
        queue = self.queues.get(packet.dport)
        if queue:
            queue.put_nowait(packet)

    def send(self, packet):
        node = self.world.node_for(self.zone, packet)
        if packet.flags & SYN:
            self.world.syn_nodes[(packet.src, packet.sport, packet.dst, packet.dport)].add(node)
        if node:
            self.transport.sendto(packet.pack(), (node.ip, PACKETS_PORT))
        return node

    async def flow(self, port, requests=1, pause=0.0):
        """One flow of some requests.  Return: how it ended."""
        self.next_port = self.next_port + 1 if self.next_port < 60000 else 20000
        sport = self.next_port
        flow = Flow(self, sport, port)
        queue = self.queues[sport] = asyncio.Queue()
        try:
            return await flow.play(queue, requests, pause)
        finally:
            del self.queues[sport]


class Flow:
    def __init__(self, client, sport, port):
        self.client, self.world, self.sport, self.port = client, client.world, sport, port
        self.key = (client.address, sport, HOST, port)
        self.echo, self.iss = 0, random.getrandbits(31)

    def packet(self, flags, seq, ack, data=b""):
        return Packet(flags, seq & 0xffffffff, ack & 0xffffffff, self.client.address, self.sport,
                      HOST, self.port, self.echo, data)

    async def receive(self, queue, deadline):
        left = deadline - time.monotonic()
        if left <= 0:
            return None
        try:
            packet = await asyncio.wait_for(queue.get(), left)
        except asyncio.TimeoutError:
            return None
        if not packet.flags & RST:
            self.echo = packet.echo
        return packet

    async def open(self, queue):
        began = self.syn_sent_at = time.monotonic()
        for count, until in enumerate((*SYN_COPIES_S, SYN_LIMIT_S)):
            self.client.send(self.packet(SYN, self.iss, count))
            while (packet := await self.receive(queue, began + until)) is not None:
                if packet.flags & RST:
                    return packet
                if packet.flags & SYN and packet.ack == self.iss + 1:
                    return packet
        return None

    def on_reset(self, packet):
        by = "the system" if packet.sum == 0 else "an endpoint"
        self.world.flow_reset(self.key, packet.sum == 0)
        return f"reset by {by}"

    async def play(self, queue, requests, pause):
        answer = await self.open(queue)
        if answer is None:
            return "not opened"
        if answer.flags & RST:
            return "refused"
        seq, ack = self.iss + 1, answer.seq + 1
        self.client.send(self.packet(ACK, seq, ack))
        for number in range(requests):
            self.world.request_count += 1
            request = f"r{self.world.request_count}"
            data = f"GET /{self.port}/ HTTP/1.1\r\nHost: x\r\nRequest-Id: {request}\r\n\r\n".encode()
            self.world.sent(request, self)
            outcome, ack = await self.exchange(queue, seq, ack, data, request)
            if outcome != "good":
                return outcome
            seq += len(data)
            deadline = time.monotonic() + pause
            while (packet := await self.receive(queue, deadline)) is not None:
                if packet.flags & RST:
                    return self.on_reset(packet)
                if packet.data:
                    self.client.send(self.packet(ACK, seq, ack))
        self.client.send(self.packet(ACK | FIN, seq, ack))
        return "good"

    async def exchange(self, queue, seq, ack, data, request):
        limit = time.monotonic() + 5.0
        acked = False
        for pause in RETRIES_S:
            if not acked:
                self.client.send(self.packet(ACK, seq, ack, data))
            deadline = min(limit, time.monotonic() + pause)
            while (packet := await self.receive(queue, deadline)) is not None:
                if packet.flags & RST:
                    return self.on_reset(packet), ack
                acked = acked or packet.ack == seq + len(data)
                if packet.data and packet.seq == ack:
                    ack = packet.seq + len(packet.data)
                    self.client.send(self.packet(ACK, seq + len(data), ack))
                    self.world.answered(request, self, packet.data)
                    return "good", ack
                if packet.data:
                    self.client.send(self.packet(ACK, seq, ack))
            if time.monotonic() >= limit:
                break
        return "not answered", ack


class Node:
    """A front machine with the daemon as a process, and the routers' view of it."""

    def __init__(self, world, index, zone, ip):
        self.world, self.index, self.zone, self.ip = world, index, zone, ip
        self.name, self.process = f"front-{zone}-{index}", None
        self.ready, self.misses = False, 2
        self.settings = os.path.join(world.folder, f"{self.name}.ini")
        self.log = open(os.path.join(world.folder, f"{self.name}.log"), "ab")

    def write_settings(self):
        """Fills in deploy/node.ini as the platform does."""
        world = self.world
        fields = {"node": self.name, "zone": self.zone, "ip": self.ip,
                  "listen": {"datagram_addr": f"{self.ip}:{PACKETS_PORT}",
                             "ready": f"{self.ip}:{READY_PORT}",
                             "control": f"{self.ip}:{CONTROL_PORT}"},
                  "internal_ports": [PEERS_PORT, PEERS_PORT + 15], "bounds": BOUNDS,
                  "seed_addrs": [f"{n.ip}:{CONTROL_PORT}" for n in world.nodes[:3]],
                  "platform": {"address": f"{world.store_address}:{STORE_PORT}"}}

        def value(match):
            found = fields
            for part in match.group(1).split("."):
                found = found[int(part)] if part.isdigit() else found[part]
            return ",".join(found) if isinstance(found, list) else str(found)

        with open(os.path.join(ROOT, "deploy", "node.ini")) as template:
            text = re.sub(r"\{\{([a-z0-9_.]+)\}\}", value, template.read())
        with open(self.settings, "w") as out:
            out.write(text)

    async def start(self):
        self.write_settings()
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "bin", "masticvaned"), "--config", self.settings,
            cwd=ROOT, stdout=self.log, stderr=self.log)

    async def stop(self, number=signal.SIGTERM, limit_s=6.0):
        process = self.process
        process.send_signal(number)
        try:
            await asyncio.wait_for(process.wait(), limit_s)
        except asyncio.TimeoutError:
            process.kill()
            await process.wait()

    async def probe(self):
        is_ready = False
        writer = None
        try:
            async def ask():
                nonlocal writer
                reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in await reader.readline()
            is_ready = await asyncio.wait_for(ask(), 0.4)
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            if writer:
                writer.close()
        self.misses = 0 if is_ready else self.misses + 1
        self.ready = self.misses < 2


class World:
    """One run of a case.

    violations: what broke a rule, as [rule, text].  Each event goes into the
    record, a JSON object a line.
    """

    def __init__(self, case_folder, zones, nodes_per_zone):
        self.net = random.SystemRandom().randrange(40, 230)
        self.folder = tempfile.mkdtemp(prefix="masticvane-review-")
        self.record = open(os.path.join(case_folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.store_address = f"127.{self.net}.200.1"
        self.store = Store(self)
        self.zones, self.nodes, self.endpoints, self.clients = zones, [], [], []
        for z, zone in enumerate(zones):
            for i in range(nodes_per_zone):
                self.nodes.append(Node(self, i + 1, zone, f"127.{self.net}.{z + 1}.{i + 10}"))
        self.violations, self.tasks, self.outcomes = [], set(), collections.Counter()
        self.request_count, self.version, self.next_endpoint = 0, 0, 0x7f3a9100
        self.syn_nodes = collections.defaultdict(set)  # flow -> nodes that took its SYNs
        self.flow_endpoint, self.runs, self.hooks = {}, collections.Counter(), {}
        self.serves = {}   # port -> services that any configuration allowed

    # Records

    def at(self):
        return round(time.monotonic() - self.began, 3)

    def note(self, what, **fields):
        self.record.write(json.dumps({"at": self.at(), "what": what, **fields}) + "\n")

    def violation(self, rule, text):
        self.violations.append([rule, text])
        self.note("VIOLATION", rule=rule, text=text)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # What clients and endpoints see

    def sent(self, request, flow):
        self.note("sent", request=request, flow=flow.sport, port=flow.port)

    def answered(self, request, flow, data):
        body = data.split(b"\r\n\r\n", 1)[1].decode()
        service, endpoint, name = body.split(" ")
        self.note("answered", request=request, by=endpoint, service=service)
        if name != request:
            self.violation("MIXED", f"request {request} got the answer of {name}")

    def ran(self, packet, endpoint):
        request = re.search(rb"Request-Id: (\S+)", packet.data).group(1).decode()
        self.runs[request] += 1
        self.note("ran", request=request, at_endpoint=endpoint.name, service=endpoint.service)
        if endpoint.service not in self.serves.get(packet.dport, ()):
            self.violation("ROUTE", f"request {request} to port {packet.dport}, which is for "
                           f"{sorted(self.serves.get(packet.dport, ()))}, was run by "
                           f"{endpoint.name} of service {endpoint.service}")
        if self.runs[request] > 1:
            self.violation("TWICE", f"request {request} ran {self.runs[request]} times")

    def flow_opened(self, key, endpoint, syn_arrived):
        self.flow_endpoint[key] = endpoint
        if "opened" in self.hooks:
            self.hooks["opened"](key, endpoint, syn_arrived)

    def flow_reset(self, key, by_system):
        """FLOW (a): a reset that the flow's endpoint didn't send, while it lives."""
        endpoint = self.flow_endpoint.get(key)
        self.note("reset", flow=key[1], by_system=by_system,
                  endpoint=endpoint.name if endpoint else None)
        if by_system and endpoint and endpoint.alive and key in endpoint.flows:
            self.violation("FLOW", f"the system reset flow {key[1]}, which was open at "
                           f"{endpoint.name}, which lives")

    # Platform

    def node_for(self, zone, packet):
        """The routers: a hash over the nodes in rotation (mod)."""
        own = [n for n in self.nodes if n.zone == zone]
        ready = [n for n in own if n.ready]
        if not ready:
            ready = [n for n in self.nodes if n.ready] or own
        elif 2 * len(ready) < len(own):
            ready = own
        flow = f"{packet.src}|{packet.sport}|{packet.dst}|{packet.dport}".encode()
        return ready[zlib.crc32(flow) % len(ready)]

    def owner_of(self, port):
        """The node whose process has the local TCP port: all nodes call the
        store from one loopback address."""
        with open("/proc/net/tcp") as table:
            rows = [line.split() for line in table.readlines()[1:]]
        inodes = {f"socket:[{row[9]}]" for row in rows
                  if int(row[1].split(":")[1], 16) == port
                  and int(row[2].split(":")[1], 16) == STORE_PORT}
        for node in self.nodes:
            folder = f"/proc/{node.process.pid}/fd" if node.process else ""
            try:
                if any(os.readlink(f"{folder}/{fd}") in inodes for fd in os.listdir(folder)):
                    return node
            except OSError:
                pass
        return None

    async def probe(self):
        while True:
            await asyncio.gather(*(n.probe() for n in self.nodes), asyncio.sleep(0.5))

    def configure(self, routes, **service_fields):
        """Writes op/config.  routes: port -> service, or {service: weight}."""
        self.version += random.randint(1, 4)
        rows, names = [], []
        for port, to in routes.items():
            row = {"name": f"r-{port}", "host": HOST, "prefix": f"/{port}/", "type": "idempotent",
                   "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2}
            services = [to] if isinstance(to, str) else list(to)
            if isinstance(to, str):
                row["service"] = to
            else:
                row["backends"] = [{"service": s, "weight": w} for s, w in to.items()]
            self.serves.setdefault(port, set()).update(services)
            names += [s for s in services if s not in names]
            rows.append(row)
        services = [{"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1",
                     "tls": False, **service_fields} for s in names]
        self.store.write("op/config", json.dumps({
            "version": self.version, "routes": rows, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}).encode())
        self.note("config", version=self.version)

    async def add_endpoint(self, service, zone, address=None, work_s=0.04, **more):
        self.next_endpoint += 0x11
        if address is None:
            address = f"127.{self.net}.128.{len(self.endpoints) + 1}"
        warmup_s = more.pop("warmup_s", 0.0)
        endpoint = Endpoint(self, self.next_endpoint, service, zone, address, work_s, **more)
        endpoint.warmup_s = warmup_s
        await endpoint.start()
        self.endpoints.append(endpoint)
        return endpoint

    async def add_client(self, zone):
        client = Client(self, f"127.{self.net}.100.{len(self.clients) + 1}", zone)
        await client.start()
        self.clients.append(client)
        return client

    async def begin(self, ready_limit_s=15.0):
        await self.store.serve(self.store_address)
        for node in self.nodes:
            await node.start()
        self.spawn(self.probe())
        deadline = time.monotonic() + ready_limit_s
        while not all(n.ready for n in self.nodes):
            if time.monotonic() > deadline:
                raise RuntimeError("the nodes did not become ready")
            await asyncio.sleep(0.1)
        self.note("ready")

    async def call(self, client, port, until, requests, pause, gap):
        while time.monotonic() < until:
            outcome = await client.flow(port, requests, pause)
            self.outcomes[outcome] += 1
            self.note("flow", outcome=outcome, port=port)
            await asyncio.sleep(random.uniform(0, 2 * gap))

    async def finish(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.terminate()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                try:
                    await asyncio.wait_for(node.process.wait(), 7)
                except asyncio.TimeoutError:
                    node.process.kill()
                    await node.process.wait()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*list(self.tasks), return_exceptions=True)
        for endpoint in self.endpoints:
            endpoint.transport.close()


def main(play, case_folder, rule, zones=("casa", "rabat"), nodes_per_zone=2, least_good=50):
    """Runs a case: play(world, trouble) is its course.  Exits with 1 if the
    rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = None

    async def run():
        nonlocal world
        world = World(case_folder, list(zones), nodes_per_zone)
        # A run that is ended early ends its processes too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await play(world, trouble)
        finally:
            await world.finish()

    code = 2
    try:
        asyncio.run(run())
        own = [v for v in world.violations if v[0] == rule]
        other = [v for v in world.violations if v[0] != rule]
        print(f"trouble={int(trouble)} flows={dict(world.outcomes)} {rule} broken {len(own)} times"
              + (f", other: {other[:3]}" if other else ""))
        for _, text in own[:5]:
            print("  " + text)
        if own:
            code = 1
        elif world.outcomes["good"] >= least_good:
            code = 0
        else:
            print(f"only {world.outcomes['good']} flows were served: the case couldn't run")
    except (Exception, asyncio.CancelledError) as error:  # the case couldn't run
        print(f"the case couldn't run: {error!r}")
    if world:
        world.note("end", code=code, outcomes=dict(world.outcomes), violations=len(world.violations))
        world.record.close()
        for node in world.nodes:
            if node.process and node.process.returncode is None:
                os.kill(node.process.pid, signal.SIGKILL)
        if os.environ.get("KEEP"):
            print("logs:", world.folder)
        else:
            shutil.rmtree(world.folder, ignore_errors=True)
    sys.exit(code)
