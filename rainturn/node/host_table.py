"""Stores the last entries of the listed hosts, and the numbers of hosts, zones and cells.

The decision module knows hosts, zones and cells only by these numbers.
"""

from __future__ import annotations

from rainturn import interface as it
from rainturn.node.host_list import GONE_HEALTH, EntryFields, ListedHost


class Cell:
    """A cell: its number, and how many stored hosts it has."""

    __slots__ = ("number", "host_count")

    def __init__(self, number: int) -> None:
        self.number, self.host_count = number, 0


class HostTable:
    """The hosts of the list, and the hosts that are gone but whose pools still exist.

    The numbers of hosts and cells are never reused.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        self.zones = {name: number for number, name in enumerate(zones)}
        self.numbers: dict[str, int] = {}  # host numbers by host name
        self.fields: dict[str, EntryFields] = {}  # the last entry by host name
        self.cells: dict[str, Cell] = {}
        self.last_host_number = self.last_cell_number = 0

    def store(self, host: ListedHost) -> it.HostEntry:
        """Store a host as it is listed now, and return its entry for the decision module."""
        name = host.name
        if name not in self.numbers:
            self.last_host_number += 1
            self.numbers[name] = self.last_host_number
        zone = self.zones.setdefault(host.zone, len(self.zones))
        cell = self._assign_cell(self.fields.get(name), host.cell)
        self.fields[name] = host.fields
        return it.HostEntry(
            self.numbers[name], zone, cell.number, host.state, host.size, host.started, host.order
        )

    def _assign_cell(self, stored: EntryFields | None, name: str) -> Cell:
        """Move a host from the cell of its stored entry, if any, to the cell `name`; return that cell."""
        if stored is not None and _cell_of(stored) == name:
            return self.cells[name]
        if name not in self.cells:
            self.last_cell_number += 1
            self.cells[name] = Cell(self.last_cell_number)
        self.cells[name].host_count += 1
        if stored is not None:
            self._leave_cell(_cell_of(stored))
        return self.cells[name]

    def _leave_cell(self, name: str) -> None:
        self.cells[name].host_count -= 1
        if not self.cells[name].host_count:
            del self.cells[name]

    def is_listed(self, name: str) -> bool:
        """Return whether a host is stored and isn't gone."""
        stored = self.fields.get(name)
        return stored is not None and _health_of(stored) != GONE_HEALTH

    def forget(self, name: str) -> None:
        """Remove a host that is gone and has no pool any more, and its cell if that has no other hosts."""
        if (stored := self.fields.pop(name, None)) is not None:
            del self.numbers[name]
            self._leave_cell(_cell_of(stored))


def _cell_of(fields: EntryFields) -> str:
    return str(fields[3])


def _health_of(fields: EntryFields) -> str:
    return fields[4]
