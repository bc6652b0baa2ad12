"""Commands that a client sends at once, and a host that breaks off a long value."""

from __future__ import annotations

import asyncio
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
    reset,
    value_answer,
)

HOSTS = 4
ROUNDS = 12
LONG_VALUE = 1 << 20  # bytes
PIECE, PIECE_S = 64 * 1024, 0.02  # a host writes a long value slowly, in pieces
BROKEN_AFTER = 256 * 1024  # bytes of a long value that a host has written when its connection is reset
GRACE_S = 0.5 + 0.05  # an answer later than this after the request's time is lost
# The commands that a client sends at once: class, time limit in ms, and whether the value is long.
BATCH = (("read", 3000, True), ("sign", 6000, False), ("donate", 3000, False), ("read", 3000, False))


class Sent:
    """One request as its client sees it."""

    def __init__(self, name: str, at: float, limit_s: float) -> None:
        self.name, self.at, self.limit_s = name, at, limit_s
        self.outcome = ""  # served, refused, failed; empty: none


async def case(world: World, trouble: bool) -> int:
    """Send batches through one gateway, each on a connection of its own."""
    rng = random.Random(2)

    async def serve(host: Host, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(rng.uniform(0.16, 0.27) if b"c=sign" in words[3] else rng.uniform(0.093, 0.16))
        is_long = words[2].endswith(b"long")
        answer = value_answer(words[2].ljust(LONG_VALUE if is_long else 200, b"."))
        for start in range(0, len(answer), PIECE):
            if trouble and start >= BROKEN_AFTER:
                await asyncio.sleep(0.3)
                world.record.line(f"{host.name}: its connection is reset under {words[2].decode()}")
                return reset(writer)
            writer.write(answer[start : start + PIECE])
            if is_long:
                await writer.drain()
                await asyncio.sleep(PIECE_S)
        world.record.line(f"{host.name} has answered {words[2].decode()}, {len(answer)} bytes")

    await world.start(HOSTS, serve)
    listen = f"{LOOPBACK}:{free_port()}"
    gateway = await world.gateway("gateway", 0, listen).start()
    await gateway.wait_until_ready()

    async def read_answers(reader: asyncio.StreamReader, batch: list[Sent]) -> str:
        """Read the answers in the order of the commands; return how the connection ended, if it did."""
        for request in batch:
            try:
                head = await reader.readline()
                if not head.endswith(b"\r\n"):
                    return "the connection ended"
                if head.startswith(b"$"):
                    await reader.readexactly(int(head[1:]) + 2)
                    request.outcome = "served"
                else:
                    request.outcome = "refused" if head.split()[0] == b"-BUSY" else "failed"
            except asyncio.IncompleteReadError as error:
                # The client can tell that this value is not whole: its request has failed and is not lost.
                request.outcome = f"failed: the value ends after {len(error.partial)} bytes"
                return "the connection ended"
            except OSError as error:
                return f"the connection ended: {error}"
            finally:
                world.record.line(f"client: {request.name} {request.outcome or 'has no answer'}")
        return ""

    async def client(number: int) -> list[Sent]:
        reader, writer = await asyncio.open_connection(LOOPBACK, int(listen.split(":")[1]))
        batch, commands = [], b""
        for place, (kind, limit_ms, is_long) in enumerate(BATCH):
            name = f"{number}.{place}.{kind}{'.long' if is_long else ''}"
            key = b"k=%016x," % rng.randrange(1 << 64) if kind == "sign" else b""
            fields = b"c=%s,t=kampan,d=%d,%sunits=1,spread=2,first=0" % (kind.encode(), limit_ms, key)
            verb = b"API.READ" if kind == "read" else b"API.WRITE"
            commands += encode(verb, b"%016x" % rng.randrange(1 << 32), name.encode(), fields)
            batch.append(Sent(name, world.record.now(), limit_ms / 1000))
            world.record.line(f"client sends {name} on connection {number}")
        writer.write(commands)
        longest = max(request.limit_s for request in batch) + GRACE_S
        try:
            end = await asyncio.wait_for(read_answers(reader, batch), longest)
        except TimeoutError:
            end = "no answer in time"
        if end:
            world.record.line(f"client: {end} on connection {number}")
        writer.close()
        return batch

    requests: list[Sent] = []
    for number in range(ROUNDS):
        requests += await client(number)
    begun = {ident.decode(): host.name for host in world.hosts for _, ident, _ in host.begun}
    # A request that the gateway had not read when it closed the connection would be sent once more by its
    # client. A request that a host has begun was read.
    lost = [request for request in requests if not request.outcome and request.name in begun]
    for request in lost:
        world.record.line(f"LOST {request.name}: {begun[request.name]} has run it, its client has no answer")
    counts: dict[str, int] = {}
    for request in requests:
        outcome = request.outcome.partition(":")[0] or "none"
        counts[outcome] = counts.get(outcome, 0) + 1
    world.record.line(
        f"{len(requests)} requests: {counts}; read by the gateway and without an answer: {len(lost)}"
    )
    if not any(request.outcome == "served" for request in requests) and not lost:
        raise CouldNotRun("nothing was served")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(case, __file__)
