"""The shutdown after SIGTERM: every request that was taken is answered before SIGKILL may come."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rainturn import interface as it
from rainturn.node.assembly import Parts
from rainturn.node.end_log import RequestEnd
from rainturn.node.gateway import Node
from rainturn.node.requests import Request

ACCEPT_AFTER_SIGTERM_S = 0.5  # new connections still come for this long after SIGTERM
LAST_COUNTS_S = 0.05  # time to send the last calls to the counter
# SIGKILL comes KILL_DELAY_S after the longest deadline, which counts as LONGEST_DEADLINE_S at most.
KILL_DELAY_S = 0.7
LONGEST_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.5  # open requests are answered this long before SIGKILL
# How long values that are being sent may go on after that. SIGKILL may come first: what it cuts of a request
# from before SIGTERM is no loss, what this process cuts is one.
LAST_VALUES_S = 10.0
VALUES_CHECK_S = 0.02


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
    node.is_stopping = True
    if not is_handed_over:
        await asyncio.sleep(min(ACCEPT_AFTER_SIGTERM_S, end - loop.time()))
    await parts.clients.stop(not is_handed_over)
    parts.pools.close_idle()
    await parts.clients.wait_closed(end - loop.time())
    parts.clients.refuse_all()  # requests queued behind the open ones are read as those end, and refused
    end_requests(node, lambda request: not request.is_streaming())
    await send_last_values(node)
    end_requests(node, lambda request: True)
    await parts.clients.close()
    await asyncio.sleep(LAST_COUNTS_S)


def end_requests(node: Node, is_due: Callable[[Request], bool]) -> None:
    """Send the final replies of those open requests for which `is_due` returns True."""
    for request in [r for r in node.requests.values() if not r.is_finished and is_due(r)]:
        node.endings.end_now(request, RequestEnd.SHUTDOWN)


async def send_last_values(node: Node) -> None:
    """Wait until all values that are being sent as they arrive are whole, for a limited time."""
    end = node.loop.time() + LAST_VALUES_S
    while any(r.is_streaming() and not r.is_finished for r in node.requests.values()):
        if node.loop.time() >= end:
            return
        await asyncio.sleep(VALUES_CHECK_S)
