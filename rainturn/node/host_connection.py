"""One connection to a host: what is written on it, and what is read from it, one attempt at a time."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Protocol

from rainturn import interface as it
from rainturn.node.gateway import Attempt, Node
from rainturn.node.resp import LongValue, Outgoing, Spoilt, answer, end_sending, fields, pack, unsent

STALL_S = 0.5  # how long a short answer that has begun may stand still
VALUE_STALL_S = 4.0  # how long a long one may
UPLOAD_STALL_S = 3.0  # how long a host may take nothing of a body that is passed on


class Owner(Protocol):
    """The pool that a connection belongs to."""

    @property
    def node(self) -> Node:
        """The gateway's event loop and clock."""

    @property
    def idle_ms(self) -> float:
        """How long a connection may rest before it is closed."""

    def rest(self, connection: HostConnection) -> None:
        """Keep a connection that carries nothing any more, or close it."""

    def lost(self, connection: HostConnection) -> None:
        """Forget a connection that has closed."""

    def close_unheard(self, since: float) -> None:
        """Close resting connections that were last heard before an attempt that got no answer."""


def command(attempt: Attempt, now: float) -> bytes:
    """The client's command with `d` set to the time that is left; a body that is passed on follows it."""
    request = attempt.request
    before, after = request.list_at
    left = max(1, int(min(attempt.until - now, request.wait)))
    words = [*request.words[:3], b"%sd=%d%s" % (before, left, after), *request.words[4:]]
    if request.body is None:
        return pack(words)
    return b"*%d%s$%d\r\n" % (len(words) + 1, pack(words)[2:], request.body.length)


class HostConnection(Outgoing):
    """One connection to a host."""

    def __init__(self, pool: Owner, address: tuple[str, int]) -> None:
        super().__init__()
        self.pool, self.address = pool, address
        self.attempt: Attempt | None = None
        self.idle_since = pool.node.clock.now()  # until then it carried something, or was not up
        self.poll = select.poll()
        self.stall: asyncio.TimerHandle | None = None  # while the host owes us bytes, or has to take ours
        self.uploading = False  # the command's body is not whole
        self.queued = 0  # bytes of it that had not left when we last looked
        self.left: int | None = None  # bytes of a long value that are still to come
        self.expected = 0  # how many figures follow it
        self.fields: int | None = None  # how many figures follow the value that has come
        self.held_up = False  # nothing is read, as the client does not take it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be ready to look at what has come before the loop does."""
        super().connection_made(transport)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def fit(self, now: float) -> bool:
        """Whether a resting connection may serve: in time, and nothing has come, read by the loop or not.

        Guards against a request that crosses the host's close, and against an answer that nobody asked for
        being taken for the next request's.
        """
        return now - self.idle_since <= self.pool.idle_ms and not self.poll.poll(0)

    # What we send.

    def begin(self, attempt: Attempt, now: float) -> None:
        """Write an attempt's command."""
        self.attempt, attempt.connection = attempt, self
        body = attempt.request.body
        self.uploading = body is not None
        self.transport.write(command(attempt, now))
        if body is None:
            self._written()
        else:
            body.attach(self)

    def more(self, data: bytes) -> None:
        """Send a piece of the body on."""
        if not self.closed:
            self.transport.write(data)

    def complete(self) -> None:
        """The body is whole: from its last byte on the host has the request, and its time counts."""
        if self.closed or self.attempt is None:
            return
        self.uploading = False
        self.transport.write(b"\r\n")
        self.attempt.sent = self.pool.node.clock.now()
        self._written()

    def _written(self) -> None:
        if not self.unsent:
            self.pool.node.counters.upstream_tries += 1

    def pause_writing(self) -> None:
        """Some bytes have not left; a host that takes none of a body for long is given up."""
        super().pause_writing()
        if self.uploading:
            self._look_at_queue(True)

    def _look_at_queue(self, first: bool = False) -> None:
        queued = unsent(self.transport)
        if not first and queued >= self.queued:
            return self.close(it.Outcome.UNREACHABLE)  # the command stays short: it never runs
        self.queued = queued
        self._watch(UPLOAD_STALL_S, self._look_at_queue)

    def resume_writing(self) -> None:
        """The last byte has left: of a command, or of what has come of it."""
        super().resume_writing()
        if self.closed or self.attempt is None:
            return
        if not self.uploading:
            self.pool.node.counters.upstream_tries += 1
        self._stall_off()
        if self.attempt.request.body is not None:
            self.attempt.request.body.resume()

    # What comes.

    def data_received(self, data: bytes) -> None:
        """Take the answer as soon as it is one; pass a long one on as it comes."""
        if self.closed:
            return
        if self.left is not None:
            return self._pass_on(data)
        self.buffer = self.buffer + data if self.buffer else data
        if self.fields is not None:
            return self._rest_of_answer()
        attempt = self.attempt
        if attempt is None:
            return self.close()  # unasked
        try:
            reply = answer(self.buffer)
        except Spoilt:
            return self.spoilt()
        if reply is None:
            return self._watch(STALL_S, self.spoilt)
        if isinstance(reply, LongValue):
            return self._value_begins(attempt, reply)
        outcome, value = it.Outcome.OK, reply.value
        if value is None:
            # Only this very word says that nothing ran; one like BUSYKEY does not.
            never = reply.error.split(b" ", 1)[0] == b"BUSY"
            outcome, value = it.Outcome.FULL if never else it.Outcome.ERROR, b""
        self._answered(attempt, outcome, value, reply.fields, self.buffer[reply.end :])

    def _value_begins(self, attempt: Attempt, value: LongValue) -> None:
        data, self.buffer = self.buffer[value.start :], b""
        self.left, self.expected = value.length, value.fields
        if not self.pool.node.value_began(attempt, value.length, self):
            return self.close(it.Outcome.CANCELLED)  # nobody waits for it any more
        self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        """Hand a piece of the value to the client, and read no more until it can take the next.

        The bytes behind a value show whether its length was true: the client's last ones wait for them.
        """
        attempt = self.attempt
        if attempt is None or self.left is None:
            return self.close()
        request = attempt.request
        if request.done:
            return self.close(it.Outcome.CANCELLED)
        piece = data[: self.left]
        self.left -= len(piece)
        if piece:
            request.client.piece(request, piece)
        if not self.left:
            self.buffer += data[len(piece) :]
            if self.buffer[:2] != b"\r\n"[: len(self.buffer)]:
                return self.spoilt()
            if len(self.buffer) >= 2:
                self.left = None
                return self._answered(attempt, it.Outcome.OK, b"", self.expected, self.buffer[2:])
        elif not request.client.takes(request):
            self.held_up = True
            self.transport.pause_reading()
            return self._stall_off()
        self._watch(VALUE_STALL_S, self.spoilt)

    def go_on(self) -> None:
        """The client takes more."""
        if self.held_up and not self.closed:
            self.held_up = False
            self._watch(VALUE_STALL_S, self.spoilt)
            self.transport.resume_reading()

    def _answered(self, attempt: Attempt, outcome: it.Outcome, value: bytes, count: int, rest: bytes) -> None:
        """The attempt is over; the connection serves again once the figures behind the value have come."""
        self._stall_off()
        self.attempt = attempt.connection = None
        self.fields, self.buffer = count, rest
        if self.uploading:
            self.close()  # the host has answered what it had not read: the rest would be taken for a command
        else:
            self._rest_of_answer()
        node = self.pool.node
        if attempt.request.body is not None:
            attempt.request.body.detach()
        node.attempt_ended(attempt, outcome, value)

    def _rest_of_answer(self) -> None:
        state = fields(self.buffer, 0, self.fields or 0)
        if state is None:
            return self._watch(STALL_S, self.close)
        if not state:
            # Guards against taking what came behind a good answer for the answer to the next request.
            return self.close()
        self._stall_off()
        self.fields, self.buffer = None, b""
        self.idle_since = self.pool.node.clock.now()
        self.pool.rest(self)

    def spoilt(self) -> None:
        """Give up on an answer that can be none, or that does not go on; its request may have run.

        Guards against waiting for the rest until the deadline. To the module it is an error of a host that is
        up, not a reset: spoilt answers come from any host and must not make hosts suspect.
        """
        self.close(it.Outcome.ERROR)

    def _watch(self, patience_s: float, end: Callable[[], None]) -> None:
        """Slow is not stalled: so long without any progress ends it."""
        self._stall_off()
        self.stall = self.pool.node.loop.call_later(patience_s, end)

    def _stall_off(self) -> None:
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None

    def close(self, outcome: it.Outcome | None = None) -> None:
        """Close at once, without waiting for what is unsent; an attempt on it ends as `outcome`."""
        if self.closed:
            return
        self.closed, self.buffer = True, b""
        self._stall_off()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            # Guards against a second copy: a repeat is written before the loop has closed this one.
            end_sending(self.transport)
        self.transport.abort()
        self.pool.lost(self)
        if attempt is not None:
            attempt.connection = None
            if attempt.request.body is not None:
                attempt.request.body.detach()
            if outcome is not None:
                self.pool.node.attempt_ended(attempt, outcome)

    def eof_received(self) -> None:
        """The host has ended its sending: no answer will come."""
        self.connection_lost(None)

    def connection_lost(self, error: Exception | None) -> None:
        """A break proves that nothing ran only while the request's last byte was still here."""
        self.close(it.Outcome.UNREACHABLE if self.unsent or self.uploading else it.Outcome.RESET)
