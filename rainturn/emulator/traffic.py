"""Counts of messages and payload bytes at a stand-in, one set for each of its addresses."""

from __future__ import annotations

from dataclasses import dataclass, fields

LOOPBACK = "127.0.0.1"


def format_address(address: tuple[str, int]) -> str:
    """An address as a configuration and a host list name it."""
    return f"{address[0]}:{address[1]}"


@dataclass
class Traffic:
    """What has passed at one address since the start: connections, messages and payload bytes."""

    connections: int = 0
    messages_in: int = 0
    bytes_in: int = 0
    messages_out: int = 0
    bytes_out: int = 0
    whole_lists: int = 0
    refused: int = 0

    def since(self, earlier: Traffic) -> Traffic:
        """What has passed between an earlier reading and this one."""
        return Traffic(*(getattr(self, f.name) - getattr(earlier, f.name) for f in fields(self)))

    def plus(self, other: Traffic) -> Traffic:
        """Both together."""
        return Traffic(*(getattr(self, f.name) + getattr(other, f.name) for f in fields(self)))

    def copy(self) -> Traffic:
        """A reading that does not go on counting."""
        return self.since(Traffic())
