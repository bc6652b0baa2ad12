"""Types of the host list, and the parsing and validation of discovery's answers."""

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
# The exceptions raised for an entry with fields that are missing, of a wrong type or out of range.
MALFORMED_ENTRY_ERRORS = (ArithmeticError, AttributeError, KeyError, TypeError, ValueError)

# The unchecked fields of an entry: host, dial, site, block, health, share, born_ms. Discovery calls a zone
# `site`, a cell `block`, a host's address `dial` and its size `share`. This is a plain tuple because the
# garbage collector stops tracking tuples of strings and numbers, but tracks other record types.
EntryFields = tuple[str, str, str, int | str, str, float, float]

_get_all_fields = itemgetter("host", "dial", "site", "block", "health", "share", "born_ms")


class ListedHost(NamedTuple):
    """One valid host of a list.

    `started` is Unix time in ms. `order` is a hash of the name, the same at all gateways.
    """

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
    """An answer of discovery: the full list, or only the changes since the version that the call named.

    `version` is that of the list after this update. `entries` holds the `EntryFields` of each complete entry,
    and any other entry as decoded from JSON; it is emptied while it is read.
    """

    version: int
    is_full: bool
    entries: deque[Any]


def parse_address(text: str) -> tuple[str, int]:
    """Split `host:port`; raise a ValueError if the text has another form or the port is out of range."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def get_fields(entry: Any) -> EntryFields:
    """Return the fields of a decoded entry, with defaults for block, share and born_ms.

    Raises one of `MALFORMED_ENTRY_ERRORS` if another field is missing.
    """
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
    """Return the fields of a JSON object that is a complete entry, or else the object itself."""
    try:
        return _get_all_fields(entry)
    except KeyError:
        return entry


def as_gone(fields: EntryFields) -> EntryFields:
    """Return the same fields with the health of a host that is gone."""
    host, dial, site, block, _, share, born_ms = fields
    return host, dial, site, block, GONE_HEALTH, share, born_ms


def parse_host(fields: EntryFields) -> ListedHost:
    """Check and convert the fields of an entry; raise one of `MALFORMED_ENTRY_ERRORS` if they are invalid."""
    host, dial, site, block, health, share, born_ms = fields
    name, size, started = str(host), float(share), float(born_ms)
    if not (math.isfinite(size) and math.isfinite(started)):
        raise ValueError("share and born_ms must be finite numbers")
    site, health = _intern(site), _intern(health)
    state, address, order = STATE_BY_HEALTH[health], parse_address(dial), zlib.crc32(name.encode())
    hash(site)
    fields = (host, dial, site, block, health, share, born_ms)
    return ListedHost(fields, name, site, str(block), state, address, size, started, order)


def _intern(text: str) -> str:
    """Return one shared copy of a text that many entries contain, to save memory."""
    return sys.intern(text) if type(text) is str else text


def get_host_name(entry: Any) -> str | None:
    """Return the host name of an entry, or None if it has none; the other fields may be malformed."""
    if type(entry) is tuple:
        return str(entry[0])
    return str(entry["host"]) if isinstance(entry, dict) and "host" in entry else None


def parse_update(answer: Any) -> HostListUpdate:
    """Convert a decoded answer of discovery to an update; raise a ValueError if it isn't a host list."""
    if (
        not isinstance(answer, dict)
        or not isinstance(answer.get("hosts"), list)
        or not isinstance(answer.get("seq"), int)
    ):
        raise ValueError("not a host list")
    return HostListUpdate(answer["seq"], answer.get("whole") is True, deque(answer["hosts"]))
