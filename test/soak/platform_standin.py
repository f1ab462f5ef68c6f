"""Stand-ins for the users' platform on loopback addresses: store, backend
servers and callers.  They use the formats that the users have published."""
import asyncio
import base64
import json
import random
import struct
import time
import zlib

SYN, RST, ACK, FIN = 128, 32, 8, 1
HEADER = struct.Struct(">B3sHII4sH4sHII")
PACKETS_PORT = 7700
MAX_DATA = 1200


def address_bytes(text):
    return bytes(int(part) for part in text.split("."))


class Packet:
    """A packet of the platform: a header of 34 bytes, then the data.

    echo holds the tag that the daemon writes into a SYN: servers return it in
    their replies, callers repeat it in later packets.  is_intact, set by
    parse(), is true if checksum and length are right.
    """

    def __init__(self, flags, seq, ack, src, sport, dst, dport, echo=0, data=b""):
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport

    def checksum(self):
        """CRC-32 over the data and all header fields but length, padding and
        echo.  It stands in for the platform's keyed checksum, which also
        leaves out echo and padding."""
        text = f"{self.flags}{self.seq}{self.ack}{self.src}{self.sport}{self.dst}{self.dport}"
        return zlib.crc32(text.encode() + self.data)

    def pack(self):
        return HEADER.pack(self.flags, b"\0\0\0", len(self.data), self.seq, self.ack,
                         address_bytes(self.src), self.dport, address_bytes(self.dst),
                         self.sport, self.checksum(), self.echo) + self.data

    @classmethod
    def parse(cls, raw):
        flags, _, length, seq, ack, src, dport, dst, sport, checksum, echo = HEADER.unpack(raw[:34])
        packet = cls(flags, seq, ack, ".".join(map(str, src)), sport,
                     ".".join(map(str, dst)), dport, echo, raw[34:])
        packet.is_intact = checksum == packet.checksum() and length == len(packet.data)
        return packet


class DatagramHandler(asyncio.DatagramProtocol):
    """Passes each datagram to receive(data)."""

    def __init__(self, receive):
        self.receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        self.receive(data)


async def open_udp(address, port, receive):
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: DatagramHandler(receive), local_addr=(address, port))
    return protocol.transport


class Store:
    """The platform's store.  Each node has an address of its own for the same
    data, so that a fault can hit the calls of one node alone.

    fault_of_node maps the index of a node to the fault of its calls; without
    an entry there is none:
      silent  no answer, the connection stays open
      reset   the connection is reset
      busy    each call is answered by 503
      lost    a POST takes effect, its answer is never sent
    """

    def __init__(self, rng):
        self.rng = rng
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.compacted_revision, self.calls = 1, 0, 0
        self.era, self.copies = 1, []
        self.fault_of_node = {}
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

    def save(self, keep_s):
        """Keeps a copy of the state, and forgets those older than keep_s."""
        now = time.monotonic()
        self.copies = [c for c in self.copies if now - c[0] < keep_s]
        self.copies.append((now, self.revision, dict(self.items)))

    def restore(self, has_new_era=True):
        """Comes back from the oldest copy: revisions go back."""
        _, self.revision, items = self.copies[0]
        self.items, self.history, self.copies = dict(items), [], []
        self.compacted_revision = self.revision
        self.era += has_new_era
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Drops the history: a watch from an older revision is answered by 410."""
        self.compacted_revision, self.history = self.revision, []

    async def serve(self, index, address, port):
        async def client(reader, writer):
            try:
                await self.handle_connection(index, reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()
        return await asyncio.start_server(client, address, port)

    async def handle_connection(self, index, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            method, target, _ = head.split("\r\n")[0].split(" ")
            length = int(head.lower().split("content-length:")[1].split("\r\n")[0])
            body = json.loads(await reader.readexactly(length) or b"{}")
            fault = self.fault_of_node.get(index, "none")
            self.calls += 1
            if fault == "silent":
                await asyncio.sleep(3600)
            if fault == "reset":
                writer.transport.abort()
                return
            path, _, query = target.partition("?")
            query = dict(part.split("=", 1) for part in query.split("&") if part)
            status, answer = ((503, {}) if fault == "busy"
                              else await self.handle_request(path, query, body))
            if fault == "lost" and method == "POST":
                await asyncio.sleep(3600)
            text = json.dumps(answer).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()

    async def handle_request(self, path, query, body):
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
            current_revision = lambda key: self.items[key]["rev"] if key in self.items else 0
            if any(current_revision(row["key"]) != row["rev"] for row in body["expect"]):
                return 412, {"items": []}
            for row in body["writes"]:
                self.write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            return 200, {"rev": self.revision}
        return 404, {}

    async def watch(self, prefix, after, wait):
        deadline = time.monotonic() + wait
        while True:
            if not self.compacted_revision <= after <= self.revision:
                return 410, {}
            events = [i for i in self.history if i["rev"] > after and i["key"].startswith(prefix)]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass


class Server:
    """One incarnation of a backend server: from its start at an address to
    its end.  Another incarnation may use the address later."""

    def __init__(self, soak, incarnation_id, service, zone, address):
        self.soak, self.id, self.service, self.zone = soak, incarnation_id, service, zone
        self.address, self.alive, self.flows, self.executed = address, True, {}, {}
        self.draining_at = None
        self.key = f"servers/i-{incarnation_id:08x}"

    async def start(self):
        self.transport = await open_udp(self.address, 8000, self.receive)
        self.announce("ready")

    def announce(self, state):
        if state == "draining":
            self.draining_at = time.monotonic()
        self.soak.store.write(self.key, json.dumps(self.entry(state)).encode())

    def entry(self, state):
        return {"service": self.service, "address": f"{self.address}:8000", "zone": self.zone,
                "version": "v1", "slots": 8, "state": state, "warmup_left_ms": 0, "seq": 1,
                "born": self.id}

    def shut_down(self):
        self.alive = False
        self.transport.close()
        self.soak.store.write(self.key, None)

    def reply(self, packet, flags, seq, data=b""):
        out = Packet(flags, seq, packet.seq, packet.dst, packet.dport, packet.src,
                     packet.sport, packet.echo, data)
        self.transport.sendto(out.pack(), (packet.src, PACKETS_PORT))

    def receive(self, raw):
        # The first 8 bytes: id of the intended incarnation, 0 for any.
        packet = Packet.parse(raw[8:])
        intended = int.from_bytes(raw[:8], "big")
        if not packet.is_intact:
            self.soak.record_violation("bytes", f"{self.key} received a packet with a wrong "
                                       "checksum or length")
            return
        if intended not in (0, self.id):
            return
        services = self.soak.services_of(packet.dst, packet.dport)
        if services and self.service not in services:
            self.soak.record_violation("crossing", f"{self.key} of service {self.service} received "
                                       f"a packet for {packet.dst}:{packet.dport} of another service")
            return
        flow_key = (packet.src, packet.sport)
        if packet.flags & SYN:
            self.soak.check_new_flow(self)
            self.flows.setdefault(flow_key, random.getrandbits(32))
            self.reply(packet, SYN | ACK, self.flows[flow_key])
        elif flow_key not in self.flows:
            self.reply(packet, RST, 0)
        elif packet.data:
            self.execute(packet)

    def execute(self, packet):
        """Runs a request once and answers it; a repetition is only answered."""
        request = packet.data.decode()
        if request not in self.executed:
            self.executed[request] = True
            self.soak.record_execution(request, self)
        self.reply(packet, ACK, self.flows[(packet.src, packet.sport)] + 1,
                   f"{self.service} {request}".encode() + self.soak.answer_suffix())


class Caller:
    """Opens flows from one address and sends requests on them.

    answer_queues maps the source port of an open flow to the packets received
    for it.
    """

    def __init__(self, soak, address):
        self.soak, self.address, self.answer_queues = soak, address, {}
        self.next_port, self.request_count = 1024, 0

    async def start(self):
        self.transport = await open_udp(self.address, PACKETS_PORT, self.receive)

    def receive(self, raw):
        packet = Packet.parse(raw)
        queue = self.answer_queues.get(packet.dport)
        if queue:
            if not packet.is_intact and not packet.flags & RST:
                self.soak.record_violation("bytes", f"caller {self.address} received a packet with "
                                           "a wrong checksum or length")
            queue.put_nowait(packet)

    async def exchange(self, queue, packet, timeouts_s, expected_flags):
        """Sends the packet once for each time-out in timeouts_s, until an
        answer comes whose SYN flag is as in expected_flags.

        Return: the answer, or a reset; None if there was neither.
        """
        for i, timeout_s in enumerate(timeouts_s):
            if packet.flags & SYN:
                packet.ack = i  # the number of the retransmission
            self.soak.send(packet)
            deadline = time.monotonic() + timeout_s
            while (remaining := deadline - time.monotonic()) > 0:
                try:
                    answer = await asyncio.wait_for(queue.get(), remaining)
                except asyncio.TimeoutError:
                    break
                # Skips late answers to earlier requests of the flow.
                matches = packet.flags & SYN or answer.ack == packet.seq
                if answer.flags & RST or (matches and (answer.flags ^ expected_flags) & SYN == 0):
                    return answer
        return None

    async def run_flow(self, host, port, requests, pause):
        """Opens a flow to host and port, sends that many requests, waits pause
        seconds after each, and closes the flow.

        Return: 'good'; 'open' if the SYN was not answered, 'refused' if it
        was reset; 'silent' if a request was not answered, 'reset' if it was
        reset.
        """
        self.next_port = self.next_port + 1 if self.next_port < 60000 else 1024
        sport = self.next_port
        queue = self.answer_queues[sport] = asyncio.Queue()
        try:
            syn = Packet(SYN, 1, 0, self.address, sport, host, port)
            answer = await self.exchange(queue, syn, (0.2, 0.4, 0.8), SYN | ACK)
            if not answer:
                return "open"
            if answer.flags & RST:
                return "refused"
            for number in range(requests):
                self.request_count += 1
                request = Packet(ACK, 2 + number, answer.seq + 1, self.address, sport, host, port,
                                 answer.echo, f"{self.address}-{self.request_count}".encode())
                answer = await self.exchange(queue, request, (0.2, 0.4, 0.8, 1.6, 1.6), ACK)
                if not answer:
                    return "silent"
                if answer.flags & RST:
                    return "reset"
                services = self.soak.services_of(host, port)
                expected = [f"{service} {request.data.decode()}" for service in services]
                if services and answer.data.decode() not in expected:
                    self.soak.record_violation("answer", f"got {answer.data}, expected one of "
                                               f"{expected}")
                await asyncio.sleep(pause)
            self.soak.send(Packet(ACK | FIN, 3, answer.seq, self.address, sport, host, port,
                                  answer.echo))
            return "good"
        finally:
            del self.answer_queues[sport]
