"""A client sends a long body whole and leaves while its request is held: does the request still run?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins2 import Agent, Client, Counter, Gateway, Host, Record, request, run_case, served, settings

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
GONE_S = 0.1  # an attempt that begins later than this after the close breaks the rule
ROUNDS = 10
WORK_S = 0.5


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Fill a customer's two slots; a third request, with a long body, then waits for one of them."""

    async def behave(host: Host, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        writer.write(served(b"value-of-" + words[2]))

    hosts = [await Host(record, f"h{n}", behave).start() for n in range(9)]
    counter, agent = await Counter(record).start(), await Agent(record, *hosts).start()
    gateway, broken, ran, left_count = Gateway(record, folder), list[str](), 0, 0
    try:
        await gateway.start(agent, counter, settings())
        for turn in range(ROUNDS):
            customer, name = 900 + turn, b"donate-%d" % turn
            others = [await Client.connect(gateway.address) for _ in range(2)]
            for number, other in enumerate(others):
                await other.send(request(b"sign-%d-%d" % (turn, number), "sign", 6000, customer, "spolek"))
            await asyncio.sleep(0.05)
            client = await Client.connect(gateway.address)
            body = b"x" * (200_000 + 40_000 * turn)
            sending = asyncio.ensure_future(
                client.send(request(name, "donate", 3000, customer, "spolek", body))
            )
            done, _ = await asyncio.wait([sending], timeout=0.2)
            record.note(f"{name.decode()}: all written: {bool(done)}")
            left = float("inf")
            if trouble and done:
                client.close()
                left, left_count = record.now(), left_count + 1
                record.note(f"the client of {name.decode()} has closed its connection")
            for other in others:
                record.note(f"a request before it gets {await other.answer(7)!r}")
                other.close()
            if not trouble:
                record.note(f"{name.decode()} gets {await client.answer(4)!r}")
                client.close()
            await asyncio.sleep(1.5)
            for begun, identity in [entry for host in hosts for entry in host.begun]:
                ran += identity == name
                if identity == name and begun > left + GONE_S:
                    broken.append(
                        f"{name.decode()} began, whole, {begun - left:.2f} s after its client had left"
                    )
        record.note(f"{ran} of {ROUNDS} donations came whole to a host")
        if trouble and not left_count:
            raise RuntimeError("no body could be written whole at once")
        return broken
    finally:
        await gateway.end()


run_case(case, RECORD)
