"""Clients use their source port again some seconds after a flow was closed by
both ends; meanwhile the nodes are stopped and started in turn."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
import platform_standins as platform  # noqa: E402

RULE = "FLOW"
NODES = 4
ENDPOINTS = 8
CLIENTS = 300
PORT = 8443
REQUESTS, PAUSE_S = 8, 0.8
REST_S = 8.0  # between two flows from a port: four times reorder_ms
GAP_S = 5.0  # between two planned stops
SECONDS = 54


async def use_port(world, address, port, until, outcomes):
    """Flows from one port, one after the other.  The endpoint closes first."""
    number = 0
    await asyncio.sleep(0.05 * (port % CLIENTS))
    while world.record.now() < until:
        flow = platform.ClientFlow(world, address, port, world.host, PORT)
        outcome = await flow.open()
        for i in range(REQUESTS):
            if outcome != "good":
                break
            is_last = i == REQUESTS - 1
            number += 1
            outcome = await flow.ask(f"{port}-{number}", 300, close=is_last)
            if not is_last:
                await asyncio.sleep(PAUSE_S)
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        if outcome == "good":
            await flow.close()
        flow.end()
        await asyncio.sleep(REST_S)


async def play(world, has_trouble):
    for i in range(ENDPOINTS):
        await world.add_endpoint("booking", i + 1)
    world.configure({PORT: "booking"})
    await world.start_nodes()
    address = await world.add_client(1)
    until = world.record.now() + SECONDS
    outcomes = {}
    clients = [asyncio.create_task(use_port(world, address, 40000 + i, until, outcomes))
               for i in range(CLIENTS)]
    await asyncio.sleep(12)
    if has_trouble:
        for node in world.nodes:
            next_stop = world.record.now() + GAP_S
            await node.stop()
            await node.start()
            await world.until(lambda n=node: n.in_rotation, 12)
            await asyncio.sleep(max(0.0, next_stop - world.record.now()))
    await asyncio.gather(*clients)
    world.record.write(f"flows: {outcomes}")
    print(f"flows: {outcomes}")


if __name__ == "__main__":
    platform.main(sys.modules[__name__])
