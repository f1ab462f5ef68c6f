"""Another writer's entry for a service that isn't named, at the address of a
living endpoint.  The entry names no endpoint to use; the others hold."""
import asyncio
import json
import os
import random
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "standins-2"))
import sim  # noqa: E402

ZONES = ("casa", "rabat", "tanger")


async def play(world, trouble):
    world.configure({8443: "booking", 8080: "docs"})
    for zone in ZONES:
        for _ in range(3):
            await world.add_endpoint("booking", zone)
        await world.add_endpoint("docs", zone)
    await world.begin()
    until = time.monotonic() + 25
    for i in range(60):
        client = await world.add_client(ZONES[i % 3])
        # Open flows with many requests and pauses between them.
        world.spawn(world.call(client, 8443, until, 6, 1.0, 0.3))
        world.spawn(world.call(client, 8080, until, 1, 0.0, 1.0))
    await asyncio.sleep(8)
    if trouble:
        victim = next(e for e in world.endpoints if e.service == "booking")
        entry = victim.entry() | {"service": "audit", "seq": 1,
                                  "born": int(time.time() * 1000)}
        world.store.write("servers/i-0badc0de", json.dumps(entry).encode())
        world.note("odd-entry", entry=entry, victim=victim.name)
    await asyncio.sleep(until - time.monotonic() + 3)


if __name__ == "__main__":
    sim.main(play, CASE, "FLOW", ZONES, 2, least_good=100)
