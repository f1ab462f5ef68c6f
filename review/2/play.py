"""Long flows, one lost datagram, and the planned stop of an entry VM.

TROUBLE=0: the same without the planned stop.
"""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from sim import Flow, World, main, now, with_trouble  # noqa: E402

HOST, PORT, ZONE, SERVICE = "127.99.0.1", 8443, "casa", "booking"
REORDER_S = 2.0
FLOWS, FLOWS_WITH_LOSS = 12, 2
PAUSE_S = 2.5


def make_world():
    return World(HERE, [ZONE, ZONE])


def write_config(world):
    world.store.write_json("op/config", {
        "version": 3,
        "routes": [{"name": "r-reserve", "host": HOST, "prefix": f"/{PORT}/",
                    "type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 200,
                    "priority": 1, "service": SERVICE, "max_attempts": 2}],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 2000}],
        "limits": {"idle_timeout_ms": 15000}})


async def short_flow(world, client, port):
    flow = Flow(client, port, HOST, PORT)
    answer = None
    if await flow.open():
        answer = await flow.request(f"warm-{port}", 2)
        flow.close()
    return answer == f"{SERVICE} warm-{port}"


def ports_through(world, client, node, first, count):
    """Source ports whose packets the routers now send to @node."""
    found, port = [], first
    while len(found) < count:
        if world.fabric.choose(ZONE, client.address, port, HOST, PORT) is node:
            found.append(port)
        port += 1
    return found


def check_flow(world, flow):
    """FLOW, as RULES.md has it, for one flow that is open."""
    opened_at, own = world.opened[flow.name]
    own_resets = [t for t, name in own.resets if name == flow.name]
    if flow.resets and not own_resets:
        by = [e.key for e in world.endpoints if any(n == flow.name for _, n in e.resets)]
        world.broken("FLOW", f"(a) the flow {flow.name[0]}:{flow.name[1]}, open at {own.key}, got "
                     f"a reset {flow.resets[0][0] - opened_at:.1f} s after it opened, which its "
                     f"endpoint didn't send; {by or 'the system'} sent it")
    others = sorted(t for e in world.endpoints if e is not own
                    for t, name, p in e.packets if name == flow.name and t > opened_at
                    and not p.flags & 128)
    to_own = [t for t, name, _ in own.packets if name == flow.name]
    for t in others:
        burst = [u for u in others if t <= u <= t + REORDER_S]
        if len(burst) >= 3 and not any(t <= u <= t + REORDER_S for u in to_own):
            world.broken("FLOW", f"(b) {len(burst)} packets of {flow.name[0]}:{flow.name[1]}, open "
                         f"at {own.key}, reached other endpoints within 2 s and none its own")
            return


async def use_flow(world, flow, second_request):
    if not await flow.open():
        return
    first = await flow.request(f"reserve-{flow.port}-1", 2)
    if first != f"{SERVICE} reserve-{flow.port}-1":
        world.record.add(f"first request of {flow.port}: {first}")
        return
    await second_request.wait()
    await asyncio.sleep(0.01 * (flow.port % 20))
    if flow.name in world.opened:
        flow.last = await flow.request(f"reserve-{flow.port}-2", 2)
        world.record.add(f"client {flow.name[0]}:{flow.name[1]}: answer to its second request: "
                         f"{flow.last}")
        flow.close()


async def play(world):
    write_config(world)
    for i in range(4):
        await world.add_endpoint(0x7f3a9100 + i, SERVICE, ZONE, i + 1)
    client = await world.add_client(1, ZONE)
    await world.start()
    if not await world.wait_ready():
        return False
    await asyncio.sleep(1.5)
    warm = await asyncio.gather(*(short_flow(world, client, 20000 + i) for i in range(40)))
    if not all(warm):
        return False
    await asyncio.sleep(4.5)
    leaving = world.nodes[0]
    ports = ports_through(world, client, leaving, 40000, FLOWS)
    lossy = {(client.address, p) for p in ports[:FLOWS_WITH_LOSS]}
    lost = set()

    def drop(packet, copy):
        """One datagram of each of these flows is lost: its first SYN+ACK."""
        name = (packet.dst, packet.dport)
        if name in lossy and name not in lost:
            lost.add(name)
            return True
        return False

    for endpoint in world.endpoints:
        endpoint.drop_syn_ack = drop
    second_request = asyncio.Event()
    flows = [Flow(client, p, HOST, PORT) for p in ports]
    users = [asyncio.ensure_future(use_flow(world, f, second_request)) for f in flows]
    await asyncio.sleep(PAUSE_S / 2)
    if with_trouble():
        await leaving.stop(signal.SIGTERM)
        if leaving.process.returncode != 0 or leaving.in_rotation:
            return False
    else:
        await asyncio.sleep(2.0)
    await asyncio.sleep(PAUSE_S / 2)
    second_request.set()
    await asyncio.gather(*users)
    opened = [f for f in flows if f.name in world.opened]
    for flow in opened:
        check_flow(world, flow)
    answered = sum(getattr(f, "last", "") == f"{SERVICE} reserve-{f.port}-2" for f in flows)
    runs = [r for e in world.endpoints for _, r in e.runs if r.startswith("reserve")]
    world.record.add(f"{len(opened)} flows opened, {len(lost)} of them after a lost SYN+ACK; "
                     f"{answered} second requests answered; {len(runs)} runs of "
                     f"{len(set(runs))} requests")
    print(f"{len(opened)} of {FLOWS} flows opened, {answered} second requests answered, "
          f"at {now():.1f} s")
    if len(runs) != len(set(runs)):
        world.broken("UNASKED", "a request ran twice")
    return len(opened) == FLOWS and len(lost) == FLOWS_WITH_LOSS


main(make_world, play)
