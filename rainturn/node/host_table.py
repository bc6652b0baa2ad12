"""What is held of listed hosts: their last entries, and the module's numbers for hosts, zones and blocks."""

from __future__ import annotations

from rainturn import interface as it
from rainturn.node.host_list import GONE, Fields, ListedHost


class Block:
    """A block of hosts: the module's number for it, and how many listed hosts stand in it."""

    __slots__ = ("number", "hosts")

    def __init__(self, number: int) -> None:
        self.number, self.hosts = number, 0


class HostTable:
    """The hosts of the list, and those that are gone and still have open connections.

    A host's number is not given to another host, and a block's number to no other block.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        self.zones = {name: number for number, name in enumerate(zones)}
        self.numbers: dict[str, int] = {}  # of hosts, by name
        self.fields: dict[str, Fields] = {}  # of each host's last entry, by name
        self.blocks: dict[str, Block] = {}
        self.last_number = self.last_block = 0

    def hold(self, host: ListedHost) -> it.HostEntry:
        """Hold a host as it is listed now, and return its entry for the module."""
        name = host.name
        if name not in self.numbers:
            self.last_number += 1
            self.numbers[name] = self.last_number
        zone = self.zones.setdefault(host.site, len(self.zones))
        block = self._move_to_block(self.fields.get(name), host.block)
        self.fields[name] = host.fields
        return it.HostEntry(
            self.numbers[name], zone, block.number, host.state, host.size, host.started, host.order
        )

    def _move_to_block(self, held: Fields | None, name: str) -> Block:
        """Count a host in its block, and no more in the one where it was held before."""
        if held is not None and _block_of(held) == name:
            return self.blocks[name]
        if name not in self.blocks:
            self.last_block += 1
            self.blocks[name] = Block(self.last_block)
        self.blocks[name].hosts += 1
        if held is not None:
            self._leave_block(_block_of(held))
        return self.blocks[name]

    def _leave_block(self, name: str) -> None:
        self.blocks[name].hosts -= 1
        if not self.blocks[name].hosts:
            del self.blocks[name]

    def is_in_force(self, name: str) -> bool:
        """Whether a host is held, and not as one that is gone."""
        held = self.fields.get(name)
        return held is not None and _health_of(held) != GONE

    def forget(self, name: str) -> None:
        """Drop a host that is gone and has no connection left, and its block if it was the last one there."""
        if (held := self.fields.pop(name, None)) is not None:
            del self.numbers[name]
            self._leave_block(_block_of(held))


def _block_of(fields: Fields) -> str:
    return str(fields[3])


def _health_of(fields: Fields) -> str:
    return fields[4]
