"""The shutdown after SIGTERM: every request that was taken is answered before SIGKILL may come."""

from __future__ import annotations

import asyncio

from rainturn import interface as it
from rainturn.node.assembly import Parts

ACCEPT_AFTER_SIGTERM_S = 0.5  # new connections still come for this long after SIGTERM
LAST_COUNTS_S = 0.05  # time for the last calls to the counter to leave
# SIGKILL comes KILL_DELAY_S after the longest deadline, which counts as LONGEST_DEADLINE_S at the most.
KILL_DELAY_S = 0.7
LONGEST_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.5  # open requests are answered this long before SIGKILL


def answer_within_s(settings: it.Settings) -> float:
    """Return how long after SIGTERM open requests are answered, in s: before SIGKILL, with any deadlines."""
    longest = max((c.deadline_ms for c in settings.classes), default=0.0) / 1000
    return min(LONGEST_DEADLINE_S, longest) + KILL_DELAY_S - KILL_MARGIN_S


async def shut_down(parts: Parts, is_handed_over: bool) -> None:
    """Accept a little longer, unless another process serves the listener; then answer all open requests."""
    loop, node = asyncio.get_running_loop(), parts.node
    end = loop.time() + answer_within_s(node.settings)
    node.dispatch(it.ShuttingDown())
    if not is_handed_over:
        await asyncio.sleep(min(ACCEPT_AFTER_SIGTERM_S, end - loop.time()))
    await parts.clients.stop(not is_handed_over)
    parts.pools.close_idle()
    await parts.clients.wait_closed(end - loop.time())
    parts.clients.refuse_all()  # requests queued behind the ones below are taken, and refused, as those end
    for request in [r for r in node.requests.values() if not r.is_finished]:
        node.end_request_now(request)
    await parts.clients.close()
    await asyncio.sleep(LAST_COUNTS_S)
