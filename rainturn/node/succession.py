"""What a process passes on of its module to the one that follows it, and how that one takes it up."""

from __future__ import annotations

import logging
import math
from typing import Any

from rainturn.node.assembly import Parts
from rainturn.node.gateway import Clock
from rainturn.state import restore_state, save_state

log = logging.getLogger(__name__)


CLOCK_BASE = "clock_base"


def carried_clock(state: dict[str, Any] | None) -> Clock:
    """The clock of the process before: all times of its state, and the windows of its counts, are by that."""
    base = (state or {}).get(CLOCK_BASE)
    return Clock(base if isinstance(base, float) and math.isfinite(base) else None)


def carried(parts: Parts) -> dict[str, Any]:
    """What the module passes on, its hosts by their names: their numbers differ from process to process."""
    state = dict[str, Any](save_state(parts.node.decision_module)) | {CLOCK_BASE: parts.node.clock.base_ms}
    pools = parts.pools.pools
    state["hosts"] = {
        pools[int(number)].name: values for number, values in state["hosts"].items() if int(number) in pools
    }
    return state


def carry_on(parts: Parts, state: dict[str, Any]) -> None:
    """Hand a predecessor's state to the module; one that can't be read changes nothing."""
    try:
        numbers = parts.discovery.table.numbers
        hosts = {str(numbers[name]): values for name, values in state["hosts"].items() if name in numbers}
        restore_state(parts.node.decision_module, parts.node.clock.now(), state | {"hosts": hosts})
        log.info("handover: carried on")
    except (AttributeError, IndexError, KeyError, OverflowError, TypeError, ValueError) as error:
        log.warning("handover: state passed over: %r", error)
