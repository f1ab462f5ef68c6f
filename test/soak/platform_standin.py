"""Stand-ins of the users' platform on loopback: store, backend servers,
callers and fabric, in the form that their pages publish."""
import asyncio
import base64
import json
import random
import struct
import time
import zlib

SYN, RST, ACK, FIN = 128, 32, 8, 1
HEAD = struct.Struct(">B3sHII4sH4sHII")
PACKETS_PORT = 7700
MAX_DATA = 1200


def address_bytes(text):
    return bytes(int(part) for part in text.split("."))


class Packet:
    """The 34 bytes and the data behind them."""

    def __init__(self, flags, seq, ack, src, sport, dst, dport, echo=0, data=b""):
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport

    def sum(self):
        """Over all but echo and pad, as the platform's keyed sum."""
        text = f"{self.flags}{self.seq}{self.ack}{self.src}{self.sport}{self.dst}{self.dport}"
        return zlib.crc32(text.encode() + self.data)

    def pack(self):
        return HEAD.pack(self.flags, b"\0\0\0", len(self.data), self.seq, self.ack,
                         address_bytes(self.src), self.dport, address_bytes(self.dst),
                         self.sport, self.sum(), self.echo) + self.data

    @classmethod
    def parse(cls, raw):
        flags, _, length, seq, ack, src, dport, dst, sport, total, echo = HEAD.unpack(raw[:34])
        packet = cls(flags, seq, ack, ".".join(map(str, src)), sport,
                     ".".join(map(str, dst)), dport, echo, raw[34:])
        packet.good = total == packet.sum() and length == len(packet.data)
        return packet


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take):
        self.take = take

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        self.take(data)


async def open_datagrams(address, port, take):
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: Datagrams(take), local_addr=(address, port))
    return protocol.transport


class Store:
    """One state behind an address for each node, so that each can be
    refused, silenced or deprived of answers alone."""

    def __init__(self, rng):
        self.rng = rng
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.floor, self.calls = 1, 0, 0
        self.mode = {}
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        self.revision += 1
        item = {"key": key, "rev": self.revision}
        if value is None:
            self.items.pop(key, None)
            item["tombstone"] = True
        else:
            item |= {"value": base64.b64encode(value).decode(), "created": self.revision,
                     "lease": lease}
            self.items[key] = item
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self):
        self.floor, self.history = self.revision, []

    async def serve(self, index, address, port):
        async def client(reader, writer):
            try:
                await self.session(index, reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()
        return await asyncio.start_server(client, address, port)

    async def session(self, index, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            method, target, _ = head.split("\r\n")[0].split(" ")
            length = int(head.lower().split("content-length:")[1].split("\r\n")[0])
            body = json.loads(await reader.readexactly(length) or b"{}")
            mode = self.mode.get(index, "good")
            self.calls += 1
            if mode == "silent":
                await asyncio.sleep(3600)
            if mode == "reset":
                writer.transport.abort()
                return
            path, _, query = target.partition("?")
            query = dict(part.split("=", 1) for part in query.split("&") if part)
            status, answer = (503, {}) if mode == "busy" else await self.answer(path, query, body)
            if mode == "lost" and method == "POST":
                await asyncio.sleep(3600)
            text = json.dumps(answer).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()

    async def answer(self, path, query, body):
        prefix = query.get("prefix", "")
        if path == "/v1/kv-range":
            found = [i for k, i in sorted(self.items.items()) if k.startswith(prefix)]
            return 200, {"items": found, "has_more": False, "store_revision": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/v1/kv-lease":
            self.leases[len(self.leases) + 1] = True
            return 200, {"lease": len(self.leases), "ttl_ms": body["ttl_ms"]}
        if path.startswith("/v1/kv-keep/"):
            return 200, {"ttl_ms": 1}
        if path == "/v1/kv-txn":
            now = lambda key: self.items[key]["rev"] if key in self.items else 0
            if any(now(row["key"]) != row["rev"] for row in body["expect"]):
                return 412, {"items": []}
            for row in body["writes"]:
                self.write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            return 200, {"rev": self.revision}
        return 404, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            if after < self.floor:
                return 410, {}
            events = [i for i in self.history if i["rev"] > after and i["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A backend server: one life at an address."""

    def __init__(self, world, ident, service, zone, address):
        self.world, self.id, self.service, self.zone = world, ident, service, zone
        self.address, self.alive, self.flows, self.ran = address, True, {}, {}
        self.draining_at = None
        self.key = f"servers/i-{ident:08x}"

    async def start(self):
        self.transport = await open_datagrams(self.address, 8000, self.take)
        self.announce("ready")

    def announce(self, state):
        if state == "draining":
            self.draining_at = time.monotonic()
        self.world.store.write(self.key, json.dumps({
            "service": self.service, "address": f"{self.address}:8000", "zone": self.zone,
            "version": "v1", "slots": 8, "state": state, "warmup_left_ms": 0, "seq": 1,
            "born": self.id}).encode())

    def end(self):
        self.alive = False
        self.transport.close()
        self.world.store.write(self.key, None)

    def reply(self, packet, flags, seq, data=b""):
        out = Packet(flags, seq, packet.seq, packet.dst, packet.dport, packet.src,
                     packet.sport, packet.echo, data)
        self.transport.sendto(out.pack(), (packet.src, PACKETS_PORT))

    def take(self, raw):
        packet = Packet.parse(raw[8:])
        intended = int.from_bytes(raw[:8], "big")
        if not packet.good:
            self.world.violation("bytes", f"{self.key} got a packet that was changed")
            return
        if intended not in (0, self.id):
            return
        if self.world.service_of(packet.dst, packet.dport) not in (self.service, None):
            self.world.violation("crossing", f"{self.key} of {self.service} got {packet.dst}:{packet.dport}")
            return
        name = (packet.src, packet.sport)
        if packet.flags & SYN:
            self.world.saw_opening(self)
            self.flows.setdefault(name, random.getrandbits(32))
            self.reply(packet, SYN | ACK, self.flows[name])
        elif name not in self.flows:
            self.reply(packet, RST, 0)
        elif packet.data:
            self.run(packet)

    def run(self, packet):
        request = packet.data.decode()
        if request not in self.ran:
            self.ran[request] = True
            self.world.ran(request, self)
        self.reply(packet, ACK, self.flows[(packet.src, packet.sport)] + 1,
                   f"{self.service} {request}".encode() + self.world.suffix())


class Caller:
    """Opens flows, keeps some open for a while, asks again on them."""

    def __init__(self, world, address):
        self.world, self.address, self.waiting = world, address, {}
        self.next_port, self.count = 1024, 0

    async def start(self):
        self.transport = await open_datagrams(self.address, PACKETS_PORT, self.take)

    def take(self, raw):
        packet = Packet.parse(raw)
        queue = self.waiting.get(packet.dport)
        if queue:
            if not packet.good and not packet.flags & RST:
                self.world.violation("bytes", f"{self.address} got a packet that was changed")
            queue.put_nowait(packet)

    async def exchange(self, queue, packet, times, wanted):
        """Send copies at @times until an answer with @wanted flags comes."""
        for i, pause in enumerate(times):
            if packet.flags & SYN:
                packet.ack = i
            self.world.send(packet)
            end = time.monotonic() + pause
            while (left := end - time.monotonic()) > 0:
                try:
                    answer = await asyncio.wait_for(queue.get(), left)
                except asyncio.TimeoutError:
                    break
                # A late answer to an earlier request of the flow is no news.
                matches = packet.flags & SYN or answer.ack == packet.seq
                if answer.flags & RST or (matches and (answer.flags ^ wanted) & SYN == 0):
                    return answer
        return None

    async def flow(self, host, port, requests, pause):
        """Return: 'good', or where it failed: 'open', 'reset', 'silent'."""
        self.next_port = self.next_port + 1 if self.next_port < 60000 else 1024
        sport = self.next_port
        queue = self.waiting[sport] = asyncio.Queue()
        try:
            first = Packet(SYN, 1, 0, self.address, sport, host, port)
            answer = await self.exchange(queue, first, (0.2, 0.4, 0.8), SYN | ACK)
            if not answer:
                return "open"
            if answer.flags & RST:
                return "refused"
            for number in range(requests):
                self.count += 1
                ask = Packet(ACK, 2 + number, answer.seq + 1, self.address, sport, host, port,
                             answer.echo, f"{self.address}-{self.count}".encode())
                answer = await self.exchange(queue, ask, (0.2, 0.4, 0.8, 1.6, 1.6), ACK)
                if not answer:
                    return "silent"
                if answer.flags & RST:
                    return "reset"
                service = self.world.service_of(host, port)
                if service and answer.data.decode() != f"{service} {ask.data.decode()}":
                    self.world.violation("answer", f"{ask.data} got {answer.data}")
                await asyncio.sleep(pause)
            self.world.send(Packet(ACK | FIN, 3, answer.seq, self.address, sport, host, port,
                                   answer.echo))
            return "good"
        finally:
            del self.waiting[sport]
