"""What the node needs of the parts that call other machines: hosts and the shared counter."""

from __future__ import annotations

from typing import Protocol

from rainturn.node.requests import Attempt


class AttemptRunner(Protocol):
    """Sends attempts to hosts."""

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt. Its end is reported with `Node.end_attempt`."""

    def drop(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""


class CounterCaller(Protocol):
    """Makes calls to the shared counter."""

    def call(self, name: int, amount: float, ttl: float) -> None:
        """Begin a call. Its outcome is passed to `Node.dispatch`."""
