"""The end of a gateway after SIGTERM: what has been taken is answered before SIGKILL may come."""

from __future__ import annotations

import asyncio

from rainturn import interface as it
from rainturn.node.assembly import Parts

ACCEPT_MORE_S = 0.5  # new connections go on coming for this long after SIGTERM
LAST_CALLS_S = 0.05  # for what the counter is told last to leave
KILLED_AFTER_S = 0.7  # SIGKILL comes so long after the longest deadline, or after this long at the most:
LONGEST_S = 3.0
SPARE_S = 0.5  # so long before it what is open is answered


def answer_by(settings: it.Settings) -> float:
    """How long after SIGTERM what is open is answered, in s: before SIGKILL, whatever the deadlines are."""
    longest = max((c.deadline_ms for c in settings.classes), default=0.0) / 1000
    return min(LONGEST_S, longest) + KILLED_AFTER_S - SPARE_S


async def finish(parts: Parts, handed_on: bool) -> None:
    """Take requests a little longer, unless the listener is another's to serve; then answer what is open."""
    loop, node = asyncio.get_running_loop(), parts.node
    end = loop.time() + answer_by(node.settings)
    node.feed(it.ShuttingDown())
    if not handed_on:
        await asyncio.sleep(min(ACCEPT_MORE_S, end - loop.time()))
    await parts.clients.stop(not handed_on)
    parts.pools.close_idle()
    await parts.clients.wait_closed(end - loop.time())
    parts.clients.refuse_all()  # what waited behind the requests below is taken as they end
    for request in [r for r in node.requests.values() if not r.done]:
        node.end_request_now(request)
    await parts.clients.close()
    await asyncio.sleep(LAST_CALLS_S)
