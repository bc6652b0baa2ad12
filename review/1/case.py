"""Hosts that stand still for a moment, long values, and two attempts of a request at once."""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    LOOPBACK,
    CouldNotRun,
    Host,
    World,
    encode,
    free_port,
    main,
    value_answer,
)

HOSTS = 4
CLIENTS = 8
WARM_UP_REQUESTS = 15  # for each client, with short values
LONG_REQUESTS = 20  # for each client
SHORT_VALUE, LONG_VALUE = 200, 1 << 20  # bytes
PIECE, PIECE_S = 64 * 1024, 0.03  # a host writes a long value slowly, in pieces
PAUSE_S, PAUSE_EVERY_S = 0.5, 2.0
DEADLINE_MS = 3000


def value_of(ident: bytes) -> bytes:
    """Return the value of a request; all hosts give the same one."""
    length = LONG_VALUE if ident.startswith(b"long") else SHORT_VALUE
    block = hashlib.sha256(ident).hexdigest().encode()
    return (block * (length // len(block) + 1))[:length]


class Pauses:
    """The moments in which the first host stands still."""

    def __init__(self) -> None:
        self.over = asyncio.Event()
        self.over.set()

    async def play(self, world: World) -> None:
        """Let the first host stand still every few seconds."""
        while True:
            await asyncio.sleep(PAUSE_EVERY_S - PAUSE_S)
            world.record.line(f"{world.hosts[0].name} stands still for {PAUSE_S} s")
            self.over.clear()
            await asyncio.sleep(PAUSE_S)
            self.over.set()


async def case(world: World, trouble: bool) -> int:
    """Read long values through one gateway and compare each with what the hosts give."""
    world.settings["limits"]["may_duplicate"] = True
    pauses, rng = Pauses(), random.Random(1)
    cut_by_host: set[bytes] = set()  # ids whose answer a host could not write to its end

    async def serve(host: Host, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        paused = host is world.hosts[0]

        async def work(seconds: float) -> None:
            await asyncio.sleep(seconds)
            if paused:
                await pauses.over.wait()

        await work(rng.uniform(0.093, 0.16))
        answer = value_answer(value_of(words[2]))
        try:
            for start in range(0, len(answer), PIECE):
                writer.write(answer[start : start + PIECE])
                await writer.drain()
                if start + PIECE < len(answer):
                    await work(PIECE_S)
            world.record.line(f"{host.name} has answered {words[2].decode()}, {len(answer)} bytes")
        except OSError:
            cut_by_host.add(words[2])
            world.record.line(f"{host.name} finds the connection of {words[2].decode()} closed")
            raise

    await world.start(HOSTS, serve)
    listen = f"{LOOPBACK}:{free_port()}"
    gateway = await world.gateway("gateway", 0, listen).start()
    await gateway.wait_until_ready()
    wrong: list[str] = []
    served = 0

    async def request(ident: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request and check its answer; return whether the connection can be used further."""
        nonlocal served
        customer = rng.randrange(1 << 32)
        fields = b"c=read,t=kampan,d=%d,units=1,spread=2,first=0" % DEADLINE_MS
        writer.write(encode(b"API.READ", b"%016x" % customer, ident, fields))
        name = ident.decode()
        world.record.line(f"client sends {name}")
        try:
            head = await reader.readline()
            if head.startswith(b"-"):
                world.record.line(f"client gets {head!r} for {name}")
                return True
            if not head.startswith(b"$"):
                wrong.append(f"{name}: the answer begins with {head[:60]!r}")
                return False
            length = int(head[1:])
            value = await reader.readexactly(length)
            end = await reader.readexactly(2)
        except (OSError, asyncio.IncompleteReadError) as error:
            world.record.line(
                f"client sees the connection end before the answer to {name} is whole: {error!r}"
            )
            return False
        expected = value_of(ident)
        if value != expected or end != b"\r\n":
            at = next(
                (n for n, (a, b) in enumerate(zip(value, expected, strict=False)) if a != b), len(value)
            )
            wrong.append(
                f"{name}: a whole answer of {length} bytes differs from the hosts' value from byte {at} on: "
                f"{(value + end)[at : at + 40]!r}"
            )
            return False
        served += 1
        world.record.line(f"client is served {name}, {length} bytes")
        return True

    async def client(number: int) -> None:
        connection = None
        for kind, count in (("short", WARM_UP_REQUESTS), ("long", LONG_REQUESTS)):
            for turn in range(count):
                if connection is None:
                    connection = await asyncio.open_connection(LOOPBACK, int(listen.split(":")[1]))
                if not await request(f"{kind}-{number}-{turn}".encode(), *connection):
                    connection[1].close()
                    connection = None
                await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    pausing = asyncio.create_task(pauses.play(world)) if trouble else None
    await asyncio.gather(*tasks)
    if pausing is not None:
        pausing.cancel()
    twice = {ident for host in world.hosts for _, ident, _ in host.begun}
    second = sum(len(host.begun) for host in world.hosts) - len(twice)
    world.record.line(
        f"{served} served whole and right; {second} further attempts; wrong answers: {len(wrong)}"
    )
    for text in wrong:
        world.record.line(f"WRONG {text}")
    if not served:
        raise CouldNotRun("nothing was served")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    main(case, __file__)
