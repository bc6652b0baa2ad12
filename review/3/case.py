"""A customer under a hard ceiling that presses against it while a new version takes over from the old one."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    LOOPBACK,
    CouldNotRun,
    Gateway,
    Host,
    World,
    encode,
    main,
    read_line,
    value_answer,
)

HOSTS = 4
GATEWAYS = 2  # the customer's set: spread=2, first=0
CUSTOMER = 0x1B4D65521
CEILING_BURST, CEILING_RATE, SLACK = 40.0, 20.0, 6.0  # units, units a second, units
QUIET_S = 5.0  # the customer asks for nothing; meanwhile its store is full
PRESS_S = 5.0  # how long the customer presses before the new version is started
AFTER_S = 3.0  # and after the release
CLIENTS = 6  # connections of the customer to each gateway
PAUSE_S = 0.05  # between a refusal and the client's next request
DEADLINE_MS = 3000
KILL_AFTER_S = 3.0 + 0.7  # from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s more


async def case(world: World, trouble: bool) -> int:
    """Press through both gateways, replace the process of each, and keep the customer's store."""
    world.settings["plans"].append(
        {"cap_slack": SLACK, "ceiling_burst": CEILING_BURST, "excess_cost": 0.8, "extra_worth": 0.0}
        | {"name": "strop", "never_over_rate": CEILING_RATE, "parallel": 8, "peak_units": 0.0}
        | {"per_second": 0.0, "price": 1.6}
    )
    rng = random.Random(3)

    async def serve(host: Host, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(rng.uniform(0.093, 0.16))
        writer.write(value_answer(words[2]))

    await world.start(HOSTS, serve)
    listeners = [socket.create_server((LOOPBACK, 0), backlog=1024) for _ in range(GATEWAYS)]
    addresses = [f"{LOOPBACK}:{listener.getsockname()[1]}" for listener in listeners]
    old: list[Gateway] = []
    for number, listener in enumerate(listeners):
        old.append(await world.gateway(f"n{number}-old", number, addresses[number]).start(listener))
    for gateway in old:
        await gateway.wait_until_ready()
    over = False
    outcomes: dict[str, int] = {}

    async def client(number: int, name: str) -> None:
        """Send one request after another, on one connection for as long as it stays open."""
        connection = None
        turn = 0
        while not over:
            try:
                if connection is None:
                    connection = await asyncio.open_connection(LOOPBACK, listeners[number].getsockname()[1])
                reader, writer = connection
                turn += 1
                ident = f"{name}-{turn}"
                fields = b"c=read,t=strop,d=%d,units=1,spread=%d,first=0" % (DEADLINE_MS, GATEWAYS)
                writer.write(encode(b"API.READ", b"%016x" % CUSTOMER, ident.encode(), fields))
                world.record.line(f"client sends {ident} to n{number}")
                head = await read_line(reader)
                if head.startswith(b"$"):
                    await reader.readexactly(int(head[1:]) + 2)
                outcome = head[:5].decode() if head.startswith(b"-") else "served"
                world.record.line(f"client gets {outcome} for {ident}")
                if outcome != "served":
                    await asyncio.sleep(PAUSE_S)
            except (OSError, EOFError):
                outcome, connection = "the connection ended", None
            outcomes[outcome] = outcomes.get(outcome, 0) + 1

    await asyncio.sleep(QUIET_S)
    clients = [
        asyncio.create_task(client(number, f"c{number}{place}"))
        for number in range(GATEWAYS)
        for place in range(CLIENTS)
    ]
    await asyncio.sleep(PRESS_S)
    for number, listener in enumerate(listeners if trouble else ()):  # a release: one gateway after another
        new = await world.gateway(f"n{number}-new", number, addresses[number]).start(listener)
        await new.wait_until_ready(6.0)
        old[number].signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(old[number].process.wait(), KILL_AFTER_S)
            world.record.line(f"n{number}-old: has ended by itself")
        except TimeoutError:
            old[number].signal(signal.SIGKILL)
    await asyncio.sleep(AFTER_S)
    over = True
    await asyncio.gather(*clients)

    # The customer's store: a request takes its units when its first attempt has come whole to a host.
    store, filled_at, least, least_at, taken = CEILING_BURST, 0.0, CEILING_BURST, 0.0, 0
    seen: set[bytes] = set()
    for at, ident, _ in sorted(one for host in world.hosts for one in host.begun):
        if ident in seen:
            continue
        seen.add(ident)
        store = min(CEILING_BURST, store + (at - filled_at) * CEILING_RATE) - 1.0
        filled_at, taken = at, taken + 1
        if store < least:
            least, least_at = store, at
    world.record.line(f"the customer's answers: {outcomes}; units taken: {taken}")
    world.record.line(
        f"the store was lowest at {least_at:.3f} s with {least:.1f} units; allowed: {-SLACK:.1f}"
    )
    if taken < CEILING_BURST:
        raise CouldNotRun("the customer did not press against its ceiling")
    return BROKEN if least < -SLACK else HELD


if __name__ == "__main__":
    main(case, __file__)
