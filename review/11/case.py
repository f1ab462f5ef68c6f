"""Another writer leaves one odd entry among those of the endpoints; later all processes
of the system are killed and start again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
import platform_standins as platform  # noqa: E402

RULE = "RECOVER"
NODES = 4
PORT = 8443
ENDPOINTS = 14
ODD_KEY = "servers/\0audit"
ODD_BYTES = 1048576  # value_bytes
DOWN_S = 0.74  # kill_all of the site
FLOWS_PER_S = 15
BEFORE_S, AFTER_S = 10, 15


async def use_flow(world, address, port, outcomes):
    flow = platform.ClientFlow(world, address, port, world.host, PORT)
    outcome = await flow.open()
    if outcome == "good":
        outcome = await flow.ask(f"{port}-1", 300, limit_s=5.0, close=True)
    if outcome == "good":
        await flow.close()
    flow.end()
    outcomes.append(outcome)


async def send_requests(world, address, first_port, seconds):
    """Returns the outcome of each request: a flow each."""
    outcomes, flows = [], []
    for i in range(seconds * FLOWS_PER_S):
        flows.append(asyncio.create_task(use_flow(world, address, first_port + i, outcomes)))
        await asyncio.sleep(1 / FLOWS_PER_S)
    await asyncio.gather(*flows)
    served = outcomes.count("good") / len(outcomes)
    counts = {outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))}
    world.record.write(f"{served:.2f} of {len(outcomes)} requests served: {counts}")
    print(f"{served:.2f} of {len(outcomes)} requests served: {counts}")
    return served


async def play(world, has_trouble):
    for i in range(ENDPOINTS):
        await world.add_endpoint("booking", i + 1)
    world.configure({PORT: "booking"})
    await world.start_nodes()
    address = await world.add_client(1)
    if has_trouble:
        world.store.put(ODD_KEY, os.urandom(ODD_BYTES))
        world.record.write(f"another writer: an entry {ODD_KEY!r} of {ODD_BYTES} bytes")
    before = await send_requests(world, address, 10000, BEFORE_S)
    # The final fault, right after one more change was acknowledged.
    world.configure({PORT: "booking", PORT + 1: "booking"})
    for node in world.nodes:
        await node.kill()
    await asyncio.sleep(DOWN_S)
    for node in world.nodes:
        await node.start()
    back_at = world.record.now()
    await asyncio.sleep(platform.BOUNDS["recover_s"])
    ready = sum(node.in_rotation for node in world.nodes)
    world.record.write(f"{ready} of {NODES} nodes are ready")
    after = await send_requests(world, address, 20000, AFTER_S)
    if before >= 0.25 > after:
        world.record.break_rule(
            f"RECOVER: of the requests sent {platform.BOUNDS['recover_s']} s and more after the "
            f"machines were back, {after:.2f} were served, {before:.2f} before; {ready} of {NODES} "
            f"nodes were ready, at the end ({world.record.now() - back_at:.0f} s) "
            f"{sum(node.in_rotation for node in world.nodes)}")


if __name__ == "__main__":
    platform.main(sys.modules[__name__])
