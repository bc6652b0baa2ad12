"""What a process passes on of its module to the one that follows it, and how that one takes it up."""

from __future__ import annotations

import logging
from typing import Any

from rainturn.node.assembly import Parts
from rainturn.state import restore_state, save_state

log = logging.getLogger(__name__)


def carried(parts: Parts) -> dict[str, Any]:
    """What the module passes on, its hosts by their names: their numbers differ from process to process."""
    state = dict[str, Any](save_state(parts.node.module))
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
        restore_state(parts.node.module, parts.node.clock.now(), state | {"hosts": hosts})
        log.info("handover: carried on")
    except (AttributeError, IndexError, KeyError, OverflowError, TypeError, ValueError) as error:
        log.warning("handover: state passed over: %r", error)
