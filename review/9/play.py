"""Another writer's entry with fields missing, which names another service than
the endpoint's own entry does.  It names no endpoint to use."""
import asyncio
import json
import os
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
    victim = next(e for e in world.endpoints if e.service == "booking")
    await world.begin()
    until = time.monotonic() + 20
    for i in range(24):
        client = await world.add_client(ZONES[i % 3])
        world.spawn(world.call(client, 8443, until, 1, 0.0, 0.3))
        world.spawn(world.call(client, 8080, until, 1, 0.0, 0.3))
    await asyncio.sleep(8)
    if trouble:
        entry = {k: v for k, v in victim.entry().items()
                 if k in ("service", "address", "zone", "slots", "state")} | {"service": "docs"}
        world.store.write(f"servers/old/{victim.name}", json.dumps(entry).encode())
        world.note("odd-entry", key=f"servers/old/{victim.name}", entry=entry)
    await asyncio.sleep(until - time.monotonic() + 6)


if __name__ == "__main__":
    sim.main(play, CASE, "ROUTE", ZONES, 2, least_good=100)
