"""The node that watches the store for its zone is cut off from it, just when the
entry of an endpoint is removed.  The other nodes, which are in touch, go on
opening flows at the endpoint for longer than drain_ms."""
import asyncio
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "standins-2"))
import sim  # noqa: E402

ZONES = ("casa", "rabat")
DRAIN_S = sim.BOUNDS["drain_ms"] / 1000
CUT_S = 5.5  # core_cut of the site: count 1, for_s 5.5


async def play(world, trouble):
    world.configure({8443: "booking", 8080: "docs"})
    for zone in ZONES:
        for _ in range(5):
            await world.add_endpoint("booking", zone)
        await world.add_endpoint("docs", zone)
    victim = next(e for e in world.endpoints if e.zone == "casa" and e.service == "booking")
    removed_at, cut_node = None, None

    def opened(key, endpoint, syn_arrived):
        """DRAIN, judged by the opening packet; only flows whose SYNs all went
        through nodes that were in touch."""
        if endpoint is not victim or removed_at is None or cut_node in world.syn_nodes[key]:
            return
        if syn_arrived - removed_at > DRAIN_S:
            nodes = "/".join(n.name for n in world.syn_nodes[key])
            world.violation("DRAIN", f"{victim.name} got flow {key[1]} through {nodes} "
                            f"{syn_arrived - removed_at:.2f} s after its entry was removed")

    world.hooks["opened"] = opened
    await world.begin()
    until = time.monotonic() + 24
    for i in range(30):
        client = await world.add_client(ZONES[i % 2])
        world.spawn(world.call(client, 8443, until, 1, 0.0, 0.1))
        world.spawn(world.call(client, 8080, until, 1, 0.0, 0.5))
    await asyncio.sleep(5)
    # The endpoint no longer reaches the store, and serves on.
    victim.beats.cancel()
    world.note("silent", endpoint=victim.name)
    await asyncio.sleep(3 * sim.BEAT_S)
    if trouble:
        watchers = world.store.watched_by
        cut_node = max((n for n in watchers if n and n.zone == "casa"), key=watchers.get)
        answered = watchers[cut_node]
        while watchers[cut_node] == answered:
            await asyncio.sleep(0.005)
        world.store.fault_of[cut_node] = "silent"
        world.note("cut", node=cut_node.name)
    world.store.write(f"servers/{victim.name}", None)
    removed_at = time.monotonic()
    world.note("removed", endpoint=victim.name)
    await asyncio.sleep(CUT_S)
    world.store.fault_of.clear()
    await asyncio.sleep(max(0.0, until - time.monotonic()) + 5)


if __name__ == "__main__":
    sim.main(play, CASE, "DRAIN", ZONES, 3, least_good=100)
