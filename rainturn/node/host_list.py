"""The form of a host list: discovery's answers as typed records, and the check of each entry."""

from __future__ import annotations

import math
import sys
import zlib
from collections import deque
from operator import itemgetter
from typing import Any, NamedTuple

from rainturn import interface as it

STATE_BY_HEALTH = {
    "in_service": it.HostState.READY,
    "terminating": it.HostState.DRAINING,
    "terminated": it.HostState.GONE,
}
GONE_HEALTH = "terminated"
# What is raised for an entry whose fields are missing, of a wrong type or out of range.
MALFORMED_ENTRY_ERRORS = (ArithmeticError, AttributeError, KeyError, TypeError, ValueError)


# The fields of an entry, not checked: host, dial, site, block, health, share, born_ms. A plain tuple, as the
# garbage collector stops visiting one of texts and numbers only, and would visit any other record.
EntryFields = tuple[str, str, str, int | str, str, float, float]

_get_all_fields = itemgetter("host", "dial", "site", "block", "health", "share", "born_ms")


class ListedHost(NamedTuple):
    """One host of a list, checked; `started` is Unix time in ms, `order` the same at all gateways."""

    fields: EntryFields
    name: str
    zone: str
    cell: str
    state: it.HostState
    address: tuple[str, int]
    size: float
    started: float
    order: int


class HostListUpdate(NamedTuple):
    """An answer of discovery: the whole list, or only the hosts that changed up to `version`.

    `hosts` holds the `EntryFields` of each entry, or what stands in its place; it is emptied as it is read.
    """

    version: int
    is_full: bool
    hosts: deque[Any]


def parse_address(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def get_fields(entry: Any) -> EntryFields:
    """The fields of an entry as JSON has it; raises one of `MALFORMED_ENTRY_ERRORS` where one is missing."""
    if type(entry) is tuple:
        return entry
    try:
        return _get_all_fields(entry)  # type: ignore[no-any-return]
    except KeyError:
        return (
            entry["host"],
            entry["dial"],
            entry["site"],
            entry.get("block", 0),
            entry["health"],
            entry.get("share", 1.0),
            entry.get("born_ms", 0.0),
        )


def fields_or_object(entry: dict[str, Any]) -> Any:
    """The fields of an object that is a complete entry, or the object itself."""
    try:
        return _get_all_fields(entry)
    except KeyError:
        return entry


def as_gone(fields: EntryFields) -> EntryFields:
    """The fields of a host that has gone since."""
    host, dial, site, block, _, share, born_ms = fields
    return host, dial, site, block, GONE_HEALTH, share, born_ms


def parse_host(fields: EntryFields) -> ListedHost:
    """Check the fields of an entry, or raise one of `MALFORMED_ENTRY_ERRORS`."""
    host, dial, site, block, health, share, born_ms = fields
    name, size, started = str(host), float(share), float(born_ms)
    if not (math.isfinite(size) and math.isfinite(started)):
        raise ValueError("not a number")
    site, health = _intern(site), _intern(health)
    state, address, order = STATE_BY_HEALTH[health], parse_address(dial), zlib.crc32(name.encode())
    hash(site)
    fields = (host, dial, site, block, health, share, born_ms)
    return ListedHost(fields, name, site, str(block), state, address, size, started, order)


def _intern(text: str) -> str:
    """The one copy of a text that many entries have."""
    return sys.intern(text) if type(text) is str else text


def get_host_name(entry: Any) -> str | None:
    """The name of the host that an entry is about, also where nothing else of it can be read."""
    if type(entry) is tuple:
        return str(entry[0])
    return str(entry["host"]) if isinstance(entry, dict) and "host" in entry else None


def parse_update(answer: Any) -> HostListUpdate:
    """Take a decoded answer for an update of the host list, or raise a ValueError."""
    if (
        not isinstance(answer, dict)
        or not isinstance(answer.get("hosts"), list)
        or not isinstance(answer.get("seq"), int)
    ):
        raise ValueError("not a host list")
    return HostListUpdate(answer["seq"], answer.get("whole") is True, deque(answer["hosts"]))
