"""Endpoints crash and start again under their ids; later one node after the other is
stopped and started as planned.  Clients keep flows open for many requests."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
import platform_standins as platform  # noqa: E402

RULE = "FLOW"
NODES = 2
PORT = 8443
ENDPOINTS = 15
CLIENTS = 360
REQUESTS, PAUSE_S = 85, 0.16  # a flow lasts some 14 s
CRASHED, DOWN_S = 2, 0.3  # of the endpoints, each time
CRASHES, BETWEEN_S = 3, 1.0
FIRST_BEAT_S = 0.8  # from its start to its first write; beat_ms is 1.2 s
CALM_S = 4.8  # from the last crash to the planned work: more than contact_ms
SECONDS = 42


async def use_client(world, address, first_port, until, outcomes):
    port = first_port
    await asyncio.sleep(random.uniform(0, REQUESTS * PAUSE_S))
    while world.record.now() < until:
        flow = platform.ClientFlow(world, address, port, world.host, PORT)
        outcome = await flow.open()
        for i in range(REQUESTS):
            if outcome != "good" or world.record.now() > until:
                break
            outcome = await flow.ask(f"{port}-{i + 1}", 300, limit_s=5.0)
            await asyncio.sleep(PAUSE_S)
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        if outcome == "good":
            await flow.close()
        flow.end()
        port += 1


async def start_again(world, crashed):
    """A new lifetime under the id that it had, at the same address."""
    await asyncio.sleep(DOWN_S)
    endpoint = platform.Endpoint(world, crashed.service, crashed.address, slots=crashed.slots,
                                 number=crashed.id)
    await endpoint.listen()
    world.record.write(f"endpoint {endpoint.key} started again")
    await asyncio.sleep(FIRST_BEAT_S)
    world.tasks.append(asyncio.create_task(endpoint.beat()))


async def play(world, has_trouble):
    endpoints = [await world.add_endpoint("booking", i + 1, slots=8) for i in range(ENDPOINTS)]
    world.configure({PORT: "booking"})
    await world.start_nodes()
    address = await world.add_client(1)
    until = world.record.now() + SECONDS
    outcomes = {}
    clients = [asyncio.create_task(use_client(world, address, 10000 + 100 * i, until, outcomes))
               for i in range(CLIENTS)]
    await asyncio.sleep(12)
    if has_trouble:
        for i in range(CRASHES):
            await asyncio.sleep(BETWEEN_S)
            for endpoint in endpoints[CRASHED * i:CRASHED * (i + 1)]:
                endpoint.crash()
                world.tasks.append(asyncio.create_task(start_again(world, endpoint)))
        await asyncio.sleep(CALM_S)
        for node in world.nodes:
            next_stop = world.record.now() + 5.0
            await node.stop()
            await node.start()
            await world.until(lambda n=node: n.in_rotation, 12)
            await asyncio.sleep(max(0.0, next_stop - world.record.now()))
    await asyncio.gather(*clients)
    world.record.write(f"flows: {outcomes}")
    print(f"flows: {outcomes}")


if __name__ == "__main__":
    platform.main(sys.modules[__name__])
