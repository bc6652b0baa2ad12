"""A client's request and its attempts at hosts, as the node holds them while they are open."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from rainturn import interface as it
from rainturn.node.body import Body


class Responder(Protocol):
    """Where a request's final answer goes: its client's connection."""

    def is_connected(self) -> bool:
        """Whether the client is still there; if it is not, its requests end now."""

    def send_value(self, request: Request, value: bytes) -> None:
        """Answer with a host's value."""

    def send_refusal(self, request: Request, backoff_ms: float, until: float) -> None:
        """Answer that trying again is harmless; a backoff over 0 says after how long.

        If its turn comes after `until` (Unix time in ms) that is not true any more, and it is a failure.
        """

    def send_failure(self, request: Request) -> None:
        """Answer with an error that promises nothing."""

    def begin_value(self, request: Request, length: int) -> None:
        """Begin a long value of so many bytes."""

    def send_piece(self, request: Request, data: bytes) -> None:
        """Send a piece of a long value."""

    def accepts_piece(self, request: Request) -> bool:
        """Whether the next piece of a long value may come."""

    def end_value(self, request: Request) -> None:
        """End a long value that is whole."""

    def cut_value(self, request: Request) -> None:
        """End a long value that is not whole, in a way that shows it to the client."""


class ValueSource(Protocol):
    """Where a long value comes from: a connection to a host."""

    def resume_value(self) -> None:
        """Pass on more of the value."""


class Request:
    """One request of a client, until its last attempt has ended. Times are Unix time in ms."""

    __slots__ = (
        "number",
        "arrival",
        "deadline",
        "words",
        "fields_before",
        "fields_after",
        "client",
        "reply",
        "reply_until",
        "attempts",
        "open_attempts",
        "done",
        "deadline_timer",
        "may_have_run",
        "held_bytes",
        "body",
        "value_pieces",
        "value_source",
        "time_limit_ms",
    )

    def __init__(
        self,
        arrival: it.Arrived,
        deadline: float,
        words: list[bytes],
        fields_before: bytes,
        fields_after: bytes,
        client: Responder,
        held_bytes: int,
        time_limit_ms: float = math.inf,
        body: Body | None = None,
    ) -> None:
        self.number, self.arrival = arrival.request, arrival
        self.deadline = deadline  # when its answer must have been written; infinite until its body is whole
        self.time_limit_ms = time_limit_ms  # from its last byte to its answer
        self.words = words  # the command as it came
        self.fields_before = (
            fields_before  # the text of its fields before `d=...`; each attempt sends its own `d`
        )
        self.fields_after = fields_after  # the text behind that
        self.client, self.held_bytes = client, held_bytes
        self.body = body  # its last value, if that is passed on
        self.reply: bytes | None = None  # the answer, while it waits for those before it
        self.reply_until = math.inf  # a refusal is a failure after this
        self.value_pieces: list[bytes] = []  # of a long value, while they wait for the answers before it
        self.value_source: ValueSource | None = None  # set once a long value has begun: no other can be given
        self.attempts: list[Attempt | None] = []  # by number; None: it has ended
        self.open_attempts = 0
        self.done = False  # whether it has ended for its client
        self.may_have_run = False  # whether an attempt that has ended may have run
        self.deadline_timer: asyncio.TimerHandle | None = None

    def is_complete(self) -> bool:
        """Whether its last byte has come."""
        return self.body is None or self.body.whole

    def may_run(self) -> bool:
        """Whether an attempt of it may have run, or may yet; one that waits for a connection can't."""
        return self.may_have_run or any(
            attempt is not None and attempt.connection is not None for attempt in self.attempts
        )


class Attempt:
    """One attempt of a request at a host. Times are Unix time in ms."""

    __slots__ = ("request", "number", "host", "started_at", "deadline", "begin_by", "connection", "timer")

    def __init__(
        self,
        request: Request,
        number: int,
        host: int,
        started_at: float,
        deadline: float,
        begin_by: float = math.inf,
    ) -> None:
        self.request, self.number, self.host = request, number, host
        self.started_at, self.deadline = started_at, deadline
        self.begin_by = begin_by  # a repeat that waited beyond this for its connection is no repeat any more
        self.connection: object | None = None  # set once its bytes were handed to one
        self.timer: asyncio.TimerHandle | None = None
