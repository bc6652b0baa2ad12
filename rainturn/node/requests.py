"""A client's request and its attempts at hosts, as the node holds them while they are open."""

from __future__ import annotations

import asyncio
import enum
import math
from typing import NamedTuple, Protocol

from rainturn import interface as it
from rainturn.node.answer_progress import AnswerProgress
from rainturn.node.body import Body


class Responder(Protocol):
    """The destination of a request's final reply: the connection of its client."""

    number: int  # by which log lines refer to the connection

    def send_value(self, request: Request, value: bytes) -> None:
        """Send a host's value."""

    def send_refusal(self, request: Request, backoff_ms: float, until: float) -> None:
        """Send a refusal: a repeat is harmless, after the backoff if that is over 0.

        After `until` (Unix time in ms) a repeat is no longer harmless: if the reply can only be sent later, a
        failure is sent instead.
        """

    def send_failure(self, request: Request) -> None:
        """Send an error that does not say whether the request has run."""

    def is_present(self) -> bool:
        """Return whether the client is known to be connected; False too while that cannot be told."""

    def begin_value(self, request: Request, length: int) -> bool:
        """Begin a long value of `length` bytes; return False if there is no room for one that must wait.

        A value whose commands behind it have been read is sent only once it is whole.
        """

    def release_value(self, request: Request) -> None:
        """Send what has come of a value that was to be sent whole, and the rest as it arrives."""

    def send_piece(self, request: Request, data: bytes) -> None:
        """Send a piece of a long value."""

    def accepts_piece(self, request: Request) -> bool:
        """Return whether the next piece of a long value can be sent now."""

    def piece_size_limit(self, request: Request) -> int:
        """Return how long the next piece of a long value may be, in bytes."""

    def end_value(self, request: Request) -> None:
        """End a complete long value."""

    def withdraw_value(self, request: Request) -> bool:
        """Take back an incomplete long value; return whether the request can still get another reply.

        It cannot once a part of the value has been sent: the connection then ends, so that the client can
        detect that the value is incomplete.
        """


class ValueSource(Protocol):
    """The source of a long value: a connection to a host."""

    def resume_value(self) -> None:
        """Send more of the value."""


class StreamStart(enum.Enum):
    """What becomes of a long value that has begun to arrive."""

    BEGUN = enum.auto()
    UNWANTED = enum.auto()  # its request has ended, or has the value of another attempt
    NO_ROOM = enum.auto()  # it has to be buffered whole, and there is no room for it yet


class ValueTransfer(NamedTuple):
    """The transfer of a long value from the host of one attempt to the client."""

    attempt: Attempt
    source: ValueSource


class Request:
    """One request of a client, until its last attempt has ended. Times are Unix time in ms."""

    __slots__ = (
        "number",
        "arrival",
        "deadline",
        "arguments",
        "fields_before_deadline",
        "fields_after_deadline",
        "client",
        "reply",
        "refusal_valid_until",
        "attempts",
        "open_attempts",
        "is_finished",
        "deadline_timer",
        "may_have_run",
        "client_has_left",
        "held_bytes",
        "body",
        "value_pieces",
        "transfer",
        "is_buffered_whole",
        "reserved_bytes",
        "time_limit_ms",
        "has_grace",
        "began_at",
        "sent_bytes",
    )

    def __init__(
        self,
        arrival: it.Arrived,
        deadline: float,
        arguments: list[bytes],
        fields_before_deadline: bytes,
        fields_after_deadline: bytes,
        client: Responder,
        held_bytes: int,
        time_limit_ms: float = math.inf,
        body: Body | None = None,
    ) -> None:
        self.number, self.arrival = arrival.request, arrival
        self.deadline = deadline  # of the reply to the client; infinite until a streamed body is complete
        self.time_limit_ms = time_limit_ms  # from the last byte of the request to its reply
        self.arguments = arguments  # of the command, as received
        # The text of the fields on both sides of `d=...`: each attempt sends its own value of `d`.
        self.fields_before_deadline = fields_before_deadline
        self.fields_after_deadline = fields_after_deadline
        self.client, self.held_bytes = client, held_bytes
        self.body = body  # the last argument, if it is streamed to the host
        self.reply: bytes | None = None  # set while it waits for earlier replies of the connection
        self.refusal_valid_until = math.inf  # a refusal that is sent later becomes a failure
        self.value_pieces: list[bytes] = []  # of a long value, while they wait to be sent
        self.transfer: ValueTransfer | None = None  # set while a long value arrives
        self.is_buffered_whole = False  # whether a long value is sent only once it is whole
        self.reserved_bytes = 0  # memory reserved for the rest of such a value
        self.attempts: list[Attempt | None] = []  # by number; None: the attempt has ended
        self.open_attempts = 0
        self.is_finished = False  # whether its final reply is decided or its client has left
        self.client_has_left = False  # whether it left before the final reply
        self.may_have_run = False  # whether an ended attempt may have run at its host
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.has_grace = False  # whether its deadline has come, and an answer in progress is awaited
        self.began_at = 0.0  # when it was registered
        self.sent_bytes = 0  # of its reply, given to the connection of its client

    def received_bytes(self) -> int:
        """Return how many bytes of its arguments have arrived."""
        fields = len(self.fields_before_deadline) + len(self.fields_after_deadline)
        body = self.body.length - self.body.bytes_left if self.body is not None else 0
        return sum(map(len, self.arguments)) + fields + body

    def is_complete(self) -> bool:
        """Return whether the last byte of the request has arrived."""
        return self.body is None or self.body.fully_received

    def is_forwarded_whole(self) -> bool:
        """Return whether a command that has been sent to a host has gone out to its last byte."""
        return self.body is None or self.body.is_forwarded_whole

    def is_begun(self) -> bool:
        """Return whether an attempt may have run, or a part of the body has been sent to a host."""
        return self.may_run() or (self.body is not None and self.body.was_forwarded)

    def is_unanswered(self) -> bool:
        """Return whether no final reply is decided, and no long value has begun to arrive."""
        return not self.is_finished and self.transfer is None

    def is_streaming(self) -> bool:
        """Return whether a long value is being sent as it arrives, so that the reply cannot change."""
        return self.transfer is not None and not self.is_buffered_whole

    def is_fed_by(self, attempt: Attempt) -> bool:
        """Return whether a long value arrives from the host of this attempt."""
        return self.transfer is not None and self.transfer.attempt is attempt

    def may_run(self) -> bool:
        """Return whether an attempt may have run or may still run.

        One that waits for a connection cannot, and neither can one whose body has not gone out whole.
        """
        return self.may_have_run or any(attempt is not None and attempt.is_out() for attempt in self.attempts)


class Attempt:
    """One attempt of a request at a host. Times are Unix time in ms."""

    __slots__ = (
        "request",
        "number",
        "host",
        "began_at",
        "started_at",
        "deadline",
        "begin_by",
        "connection",
        "timer",
        "connection_number",
        "progress",
        "sent_bytes",
        "received_bytes",
    )

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
        self.began_at, self.started_at, self.deadline = started_at, started_at, deadline
        self.begin_by = begin_by  # a repeat that gets its connection later is no longer safe and is not sent
        self.connection: object | None = None  # set once the command has been written to it
        self.timer: asyncio.TimerHandle | None = None
        self.progress: AnswerProgress | None = None  # once a part of its answer has come
        self.connection_number = 0  # of its connection, by which log lines refer to it; 0: it had none yet
        self.sent_bytes = self.received_bytes = 0  # on its connection

    def is_out(self) -> bool:
        """Return whether the whole command has been written to a host that has not answered yet."""
        return self.connection is not None and self.request.is_forwarded_whole()
