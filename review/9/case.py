"""Discovery answers each call, but slowly: does a gateway hear of a drain?"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from standins2 import Agent, Client, Counter, Gateway, Host, Record, request, run_case, settings

HERE = Path(__file__).resolve().parent
SLOW_S = 1.8  # each answer is this late; the protocol page counts on 2 s at most
TOLD_S = 6.0  # a change counts as told this long after discovery has it
GRACE_S = 1.0 + 0.05  # rules.drain_grace_ms, and 50 ms for sockets
SOONEST_S, WATCHED_S = 5.0, 15.0


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Drain the host that gets most while all answers of discovery are slow."""
    hosts = [await Host(record, f"h{n}").start() for n in range(9)]
    counter, agent = await Counter(record).start(), await Agent(record, *hosts).start()
    gateway, stopping = Gateway(record, folder), False

    async def user(number: int) -> None:
        client, turn = await Client.connect(gateway.address), 0
        while not stopping:
            turn += 1
            with contextlib.suppress(EOFError):
                await client.send(request(b"u%d-%d" % (number, turn), customer=100 + number))
                await client.answer(4)
            await asyncio.sleep(0.1)

    try:
        await gateway.start(agent, counter, settings(discovery="ask"))
        users = [asyncio.ensure_future(user(number)) for number in range(4)]
        await asyncio.sleep(2)
        agent.delay_s = SLOW_S if trouble else 0.0
        record.note(f"from now on discovery answers {agent.delay_s} s late")
        await asyncio.sleep(SOONEST_S)
        draining = max(hosts, key=lambda host: len(host.begun))
        agent.change(draining.entry("terminating"))
        changed = record.now()
        await asyncio.sleep(WATCHED_S)
        stopping = True
        await asyncio.gather(*users)
        sent = [begun - changed for begun, _ in draining.begun if begun > changed]
        late = [after for after in sent if after > TOLD_S + GRACE_S]
        last = f"the last {max(sent):.1f} s" if sent else "none"
        record.note(f"attempts to {draining.name} after discovery had its drain: {len(sent)}, {last}")
        return (
            [f"{len(late)} attempts to {draining.name}, {last} after discovery had its drain"] if late else []
        )
    finally:
        await gateway.end()


run_case(case, HERE)
