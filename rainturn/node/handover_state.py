"""Saves the decision module's state for a successor process, and restores it there."""

from __future__ import annotations

import logging
import math
from typing import Any

from rainturn.node.assembly import Parts
from rainturn.node.clock import Clock
from rainturn.saved_state import restore_state, save_state

log = logging.getLogger(__name__)

CLOCK_BASE_KEY = "clock_base"


def predecessor_clock(state: dict[str, Any] | None) -> Clock:
    """Return a clock with the predecessor's base, or a new one if the state holds no valid base.

    All times in the state, and the windows of its counts, are on the predecessor's clock.
    """
    base = (state or {}).get(CLOCK_BASE_KEY)
    return Clock(base if isinstance(base, float) and math.isfinite(base) else None)


def state_for_successor(parts: Parts) -> dict[str, Any]:
    """Return the decision module's state, with hosts by name: their numbers differ between processes."""
    state = dict[str, Any](save_state(parts.node.decision_module)) | {
        CLOCK_BASE_KEY: parts.node.clock.base_ms
    }
    pools = parts.pools.pools
    state["hosts"] = {
        pools[int(number)].name: values for number, values in state["hosts"].items() if int(number) in pools
    }
    return state


def restore_predecessor_state(parts: Parts, state: dict[str, Any]) -> None:
    """Restore a predecessor's state into the decision module; a malformed state changes nothing."""
    try:
        numbers = parts.discovery.table.numbers
        hosts = {str(numbers[name]): values for name, values in state["hosts"].items() if name in numbers}
        restore_state(parts.node.decision_module, parts.node.clock.now(), state | {"hosts": hosts})
        log.info("handover: carried on")
    except (AttributeError, IndexError, KeyError, OverflowError, TypeError, ValueError) as error:
        log.warning("handover: state ignored: %r", error)
