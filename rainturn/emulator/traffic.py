"""Counts of messages and payload bytes at a stand-in, kept separately for each of its addresses."""

from __future__ import annotations

from dataclasses import dataclass, fields

LOOPBACK = "127.0.0.1"


def format_address(address: tuple[str, int]) -> str:
    """Format an address as host:port, as in a configuration and a host list."""
    return f"{address[0]}:{address[1]}"


@dataclass
class Traffic:
    """Traffic at one address since the start: connections, messages and payload bytes.

    `whole_lists` counts the answers with the whole host list, and `refused` the refused calls.
    """

    connections: int = 0
    messages_in: int = 0
    bytes_in: int = 0
    messages_out: int = 0
    bytes_out: int = 0
    whole_lists: int = 0
    refused: int = 0

    def since(self, earlier: Traffic) -> Traffic:
        """Return the traffic between an earlier reading and this one."""
        return Traffic(*(getattr(self, f.name) - getattr(earlier, f.name) for f in fields(self)))

    def plus(self, other: Traffic) -> Traffic:
        """Return the sum of both."""
        return Traffic(*(getattr(self, f.name) + getattr(other, f.name) for f in fields(self)))

    def copy(self) -> Traffic:
        """Return a copy that later traffic does not change."""
        return self.since(Traffic())
