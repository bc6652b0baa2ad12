"""The shutdown after SIGTERM: every request that was taken is answered before SIGKILL may come."""

from __future__ import annotations

import asyncio

from rainturn import interface as it
from rainturn.node.assembly import Parts
from rainturn.node.end_log import RequestEnd

ACCEPT_AFTER_SIGTERM_S = 0.5  # new connections still come for this long after SIGTERM
LAST_COUNTS_S = 0.05  # time to send the last calls to the counter
# SIGKILL comes KILL_DELAY_S after the longest deadline, which counts as LONGEST_DEADLINE_S at most.
KILL_DELAY_S = 0.7
LONGEST_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.5  # open requests are answered this long before SIGKILL


def answer_within_s(settings: it.Settings) -> float:
    """Return within how many seconds after SIGTERM open requests are answered.

    This is before SIGKILL whatever the deadlines are.
    """
    longest = max((c.deadline_ms for c in settings.classes), default=0.0) / 1000
    return min(LONGEST_DEADLINE_S, longest) + KILL_DELAY_S - KILL_MARGIN_S


async def shut_down(parts: Parts, is_handed_over: bool) -> None:
    """Accept connections a little longer, then answer all open requests.

    If `is_handed_over` is set, another process serves the listener, and this one stops accepting at once.
    """
    loop, node = asyncio.get_running_loop(), parts.node
    end = loop.time() + answer_within_s(node.settings)
    node.dispatch(it.ShuttingDown())
    if not is_handed_over:
        await asyncio.sleep(min(ACCEPT_AFTER_SIGTERM_S, end - loop.time()))
    await parts.clients.stop(not is_handed_over)
    parts.pools.close_idle()
    await parts.clients.wait_closed(end - loop.time())
    parts.clients.refuse_all()  # requests queued behind the open ones are read as those end, and refused
    for request in [r for r in node.requests.values() if not r.is_finished]:
        node.endings.end_now(request, RequestEnd.SHUTDOWN)
    await parts.clients.close()
    await asyncio.sleep(LAST_COUNTS_S)
