"""The store comes back from a copy some seconds old in a drill; it writes the head of
its answers in two segments, before and after."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
import platform_standins as platform  # noqa: E402

RULE = "CONFIG"
NODES = 3
PORT, NEW_PORT = 8443, 9443
SEGMENT_GAP_S = 0.01
COPY_AGE_S, AWAY_S = 5.0, 1.0


def write_in_segments(store):
    """The head of each answer comes in two segments; the second one begins behind
    the name of a header."""
    async def write_head(writer, status, length):
        first, fields = store.head_lines(status, length)
        lines = [f"{name}: {value}\r\n" for name, value in fields]
        text = f"{first}\r\n" + "".join(lines) + "\r\n"
        at = text.index("Store-Era") + len("Store-Era")
        writer.write(text[:at].encode())
        await writer.drain()
        await asyncio.sleep(SEGMENT_GAP_S)
        writer.write(text[at:].encode())
    return write_head


async def flow_to(world, address, source_port, port):
    flow = platform.ClientFlow(world, address, source_port, world.host, port)
    outcome = await flow.open()
    if outcome == "good":
        outcome = await flow.ask(f"{source_port}-1", 300, close=True)
    if outcome == "good":
        await flow.close()
    flow.end()
    return outcome


async def keep_copies(world):
    while True:
        world.store.save_copy()
        await asyncio.sleep(0.25)


async def play(world, has_trouble):
    world.store.write_head = write_in_segments(world.store)
    for i in range(6):
        await world.add_endpoint("booking", i + 1)
    world.configure({PORT: "booking"})
    await world.start_nodes()
    address = await world.add_client(1)
    world.tasks.append(asyncio.create_task(keep_copies(world)))
    await asyncio.sleep(COPY_AGE_S + 3)
    # A few changes in a row, as an operator makes them.
    for i in range(4):
        world.configure({PORT: "booking", 9000 + i: "booking"})
        await asyncio.sleep(0.5)
    await asyncio.sleep(1)
    if has_trouble:
        world.store.go_down()
        world.record.write("store away")
        await asyncio.sleep(AWAY_S)
        lost = world.store.restore(COPY_AGE_S)
        world.store.is_down = False
        world.record.write(f"store back from a copy, {lost} revisions lost, era {world.store.era}")
        # What the operator wrote is written again; the endpoints do so too.
        world.configure(world.routes, version=world.version)
    await asyncio.sleep(8)
    # The core has been stable for twice contact_ms.
    world.configure({PORT: "booking", NEW_PORT: "booking"})
    changed_at = world.record.now()
    await asyncio.sleep(4)
    outcomes = {}
    for i in range(60):
        began = world.record.now()
        outcome = await flow_to(world, address, 41000 + i, NEW_PORT)
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        if outcome != "good":
            world.record.break_rule(
                f"CONFIG: a flow to the route of port {NEW_PORT}, sent {began - changed_at:.1f} s "
                f"after version {world.version} was acknowledged, is handled as only older versions "
                f"allow: {outcome}")
        old = await flow_to(world, address, 42000 + i, PORT)
        outcomes["old route " + old] = outcomes.get("old route " + old, 0) + 1
        await asyncio.sleep(0.1)
        if world.record.now() - changed_at > 25:
            break
    world.record.write(f"flows: {outcomes}; {world.store.calls} calls")
    print(f"flows: {outcomes}; {world.store.calls} calls of the store")


if __name__ == "__main__":
    platform.main(sys.modules[__name__])
