"""One client's connection: commands in, answers out in their order, and how it ends."""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections import deque
from typing import TYPE_CHECKING, cast

from rainturn.node.body import Body
from rainturn.node.client_commands import VERBS, MalformedCommand
from rainturn.node.counters import Ending
from rainturn.node.gateway import Request
from rainturn.node.resp import Spoilt, command, unsent

if TYPE_CHECKING:
    from rainturn.node.clients import Clients

MAX_ERRORS = 8  # commands in error on one connection; one more ends it
MAX_PENDING = 32  # requests of one connection at once; more wait unread
LOOK_S = 0.1  # how often a client of whom nothing is read is looked at: has it gone?


class Reply:
    """An answer that waits for those before it."""

    __slots__ = ("reply",)

    def __init__(self, reply: bytes) -> None:
        self.reply: bytes | None = reply


class ClientConnection(asyncio.Protocol):
    """One client: reads commands, writes answers in their order."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.transport: asyncio.Transport
        self.buffer = b""  # commands that are not whole yet, or have to wait
        self.pending: deque[Request | Reply] = deque()
        self.body: Body | None = None  # of the command that is on its way
        self.request: Request | None = None  # which that command is, if its body is passed on
        self.queued = 0  # bytes that had not left when we last looked
        self.errors = 0
        self.known = False  # whether it has sent a command that can be served
        self.closing = self.paused = self.blocked = self.parsing = False
        self.look: asyncio.TimerHandle | None = None  # while nothing is read
        self.end = select.poll()  # tells of the client's end, also behind what is not read yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A new client has yet to show what it is."""
        self.transport = cast(asyncio.Transport, transport)
        self.end.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        self.clients.note(self.clients.strangers, self)

    def data_received(self, data: bytes) -> None:
        """Read commands; what is no command at all ends the connection, and what follows is not looked at."""
        if self.closing:
            return
        self.buffer = self.buffer + data if self.buffer else data
        self._parse()

    def _parse(self) -> None:
        if self.parsing:
            return
        self.parsing = True
        data, at, short = self.buffer, 0, False
        try:
            while (
                at < len(data)
                and not (self.closing or self.blocked)
                and (self.body is not None or len(self.pending) < MAX_PENDING)
            ):
                if self.body is not None:
                    at, on = self._take(self.body, data, at)
                    if not on:
                        break
                    continue
                if (got := command(data, at)) is None:
                    short = True
                    break
                at = got.end
                if got.body is None:
                    self._command(got.words)
                else:
                    self._body_begins(Body(got.words, got.body))
        except Spoilt as error:
            self._malformed(str(error))
        finally:
            self.parsing = False
        self.buffer = b"" if self.closing else data[at:] if at else data
        if short:
            self.clients.idle.pop(self, None)
            self.clients.note(self.clients.unfinished, self)
        elif self in self.clients.unfinished:
            del self.clients.unfinished[self]
        self.clients.uploading.pop(self, None)
        self._flow()

    def _body_begins(self, body: Body) -> None:
        """A long body's request begins with its head; one with a short body is not held for a stranger's."""
        self.body = body
        body.resume = self._flow
        if body.long:
            self._command(body.words, body)
        elif not self.known:
            with contextlib.suppress(MalformedCommand):
                self.clients.parser.request([*body.words, b""], self)
                self._speaks()

    def _take(self, body: Body, data: bytes, at: int) -> tuple[int, bool]:
        """Take what has come of a body; returns how far, and whether the command is whole."""
        piece = data[at : at + body.left]
        if piece:
            body.feed(piece)
        at += len(piece)
        tail = data[at : at + 2]
        if body.left or len(tail) < 2:
            if tail[:1] not in (b"", b"\r"):
                raise Spoilt("a length does not fit")
            return at, False
        if tail != b"\r\n":
            raise Spoilt("a length does not fit")
        self.body, request, self.request = None, self.request, None
        body.end()
        if not body.long:
            self._command([*body.words, b"".join(body.held)])
        elif request is not None:
            self.clients.node.body_whole(request, self.clients.node.clock.now() + request.wait)
        if body.long and not self.pending:
            self._rest()
        return at + 2, True

    def _flow(self) -> None:
        """Read no more while many requests are open or the client does not take its answers.

        Guards against a client that never reads filling the memory: all it can leave with us is what
        is open when its answers stop going out.
        """
        pause = not self.closing and (
            self.blocked
            or (
                not self.body.wants()
                if self.body is not None and self.body.long
                else len(self.pending) >= MAX_PENDING
            )
        )
        if pause != self.paused and not self.transport.is_closing():
            self.paused = pause
            (self.transport.pause_reading if pause else self.transport.resume_reading)()
            self._look_off()
            if pause:
                self.look = self.clients.node.loop.call_later(LOOK_S, self._look)
        if self.body is None or pause or self.closing:
            self.clients.uploading.pop(self, None)
        else:
            self.clients.idle.pop(self, None)
            self.clients.note(self.clients.uploading, self)

    def _look(self) -> None:
        """See whether a client has gone of whom nothing is read, so that its end is not read either."""
        if self.here():
            self.look = self.clients.node.loop.call_later(LOOK_S, self._look)

    def here(self) -> bool:
        """Look whether the client has gone, before each attempt of a request of its.

        Guards against attempts that begin after its end has come but before it is read: from our buffers,
        from any wait, or as the loop comes late to its reading.
        """
        if self.transport.is_closing():
            self._end_requests()  # it was cut off, or broke and the loop has yet to say so
        elif self.end.poll(0):
            self._gone()
        return not self.transport.is_closing()

    def _look_off(self) -> None:
        if self.look is not None:
            self.look.cancel()
            self.look = None

    def _command(self, words: list[bytes], body: Body | None = None) -> None:
        """Carry out a command; one with a long body need not be whole."""
        verb, clients = words[0].upper(), self.clients
        if body is not None:
            body.over = True  # until a request takes it
        if verb in VERBS:
            try:
                request = clients.parser.request(words, self, body)
            except MalformedCommand as error:
                return self._error(str(error))
            self._speaks()
            if (
                len(clients.node.requests) >= clients.max_open
                or clients.node.held_bytes + request.size > clients.max_held
            ):
                clients.node.counters.ended(request.arrival.request_class, Ending.DROPPED)
                return self._say(b"-BUSY\r\n")
            clients.idle.pop(self, None)
            self.pending.append(request)
            if body is not None:
                body.over, self.request = False, request
            clients.node.arrived(request)
        elif verb == b"PING":
            self._speaks()
            self._say(b"+PONG\r\n" if clients.node.ready() else b"-ERR not ready\r\n")
        elif verb in (b"CLIENT", b"SELECT"):
            self._speaks()
            self._say(b"+OK\r\n")
        else:
            self._error("unknown command")

    def _speaks(self) -> None:
        if not self.known:
            self.known = True
            self.clients.strangers.pop(self, None)

    def _say(self, reply: bytes) -> None:
        self.pending.append(Reply(reply))
        self._flush()

    def _error(self, why: str) -> None:
        """Answer a command in error; one that goes on like that is not worth the time."""
        self.errors += 1
        if self.errors > MAX_ERRORS:
            return self._malformed("too many errors")
        if self.pending:
            self.clients.note(self.clients.owed, self)
        self._say(b"-ERR %s\r\n" % why.encode())

    def _malformed(self, why: str) -> None:
        """Say what is wrong once all before it is answered, then close."""
        self.closing, self.body = True, None
        self.clients.strangers.pop(self, None)
        request, self.request = self.request, None
        if request is not None and not request.done:
            self.clients.node.client_left(request)  # it never came whole; the error is its answer
            if request in self.pending:
                self.pending.remove(request)
        if self.pending:
            self.clients.note(self.clients.owed, self)
        self._say(b"-ERR %s\r\n" % why.encode())

    # Limits in time, as the sweep finds them passed.

    def cut_short(self) -> None:
        """Guards against half a command, or a line without end, holding a connection."""
        self._malformed("the command did not come whole in time")
        self.buffer = b""
        self._flow()

    def unread(self) -> None:
        """Close if the client has taken nothing for long; slow is not stalled."""
        queued = unsent(self.transport)
        if queued >= self.queued:
            return self.leave()
        self.queued = queued
        self.clients.note(self.clients.unread, self)

    def leave(self) -> None:
        """Close at once."""
        self.transport.abort()

    def part(self) -> None:
        """Close between requests; one that has come and was not read yet is served first."""
        if self.transport.is_closing():
            return
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        if not self.pending and self.body is None and not poll.poll(0):
            self.transport.close()

    def hurry(self) -> None:
        """Guards against an error that waits long behind open requests: these get their final answers now."""
        for entry in list(self.pending):
            if isinstance(entry, Request) and not entry.done and entry.source is None:
                self.clients.node.end_now(entry)

    # Answers.

    def served(self, request: Request, value: bytes) -> None:
        """Pass on a host's value."""
        self._answer(request, b"$%d\r\n%s\r\n" % (len(value), value))

    def refused(self, request: Request, backoff_ms: float) -> None:
        """Say that trying again is harmless, and when to."""
        self._answer(request, b"-BUSY %d\r\n" % max(1, round(backoff_ms)) if backoff_ms > 0 else b"-BUSY\r\n")

    def failed(self, request: Request) -> None:
        """Promise nothing."""
        self._answer(request, b"-ERR failed\r\n")

    def began(self, request: Request, length: int) -> None:
        """A long value begins."""
        self.piece(request, b"$%d\r\n" % length)

    def piece(self, request: Request, data: bytes) -> None:
        """Pass on a piece of it, in its turn."""
        request.parts.append(data)
        self._flush()

    def takes(self, request: Request) -> bool:
        """Whether the next piece may come: it is the request's turn, and the client reads."""
        return bool(self.pending) and self.pending[0] is request and not self.blocked

    def ended(self, request: Request) -> None:
        """The value is whole."""
        self._answer(request, b"\r\n")

    def cut(self, request: Request) -> None:
        """The value stays short: what has come of it goes out, then the connection ends."""
        self.closing = True
        self.transport.close()

    def _answer(self, request: Request, reply: bytes) -> None:
        request.reply = reply
        self._flush()

    def _flush(self) -> None:
        """Write the answers that are next in turn, and what has come of a long one."""
        ready: list[bytes] = []
        while self.pending:
            entry = self.pending[0]
            if isinstance(entry, Request) and entry.parts:
                ready += entry.parts
                entry.parts.clear()
            if entry.reply is None:
                break
            ready.append(entry.reply)
            self.pending.popleft()
        if not ready or self.transport.is_closing():
            return
        self.transport.write(b"".join(ready) if len(ready) > 1 else ready[0])
        if self.paused:
            self._parse()
        if not self.pending:
            self.clients.owed.pop(self, None)
            self._rest()
        else:
            self._go_on()

    def _go_on(self) -> None:
        """Let the value go on whose turn it is."""
        if self.pending and not self.blocked:
            entry = self.pending[0]
            if isinstance(entry, Request) and entry.source is not None:
                entry.source.go_on()

    def _rest(self) -> None:
        if self.body is not None:
            return  # the rest of a command that is answered already
        if self.closing:
            # Guards against a reset that would overtake the last answer: the client ends its side first.
            self.transport.write_eof()
            self.clients.idle.pop(self, None)
            self.clients.note(self.clients.lingering, self)
        elif self.clients.parting:
            self.part()
        elif self.known:
            self.clients.rests(self)

    def pause_writing(self) -> None:
        """The client does not read."""
        self.blocked = True
        self.queued = unsent(self.transport)
        self.clients.note(self.clients.unread, self)
        self._flow()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.blocked = False
        self.clients.unread.pop(self, None)
        self._parse()
        self._go_on()

    def _gone(self) -> None:
        """The client has left: nothing is owed to it, whatever of ours it has not taken yet."""
        self.closing = True
        self._look_off()
        self.transport.abort()
        self._end_requests()

    def _end_requests(self) -> None:
        """Nobody waits for them any more."""
        pending, self.pending = self.pending, deque()
        for entry in pending:
            if isinstance(entry, Request):
                self.clients.node.client_left(entry)

    def eof_received(self) -> None:
        """Its end counts at once, not when what waits to be written has left."""
        self._gone()

    def connection_lost(self, error: Exception | None) -> None:
        """A client that goes frees all its state, and the module hears of it."""
        self._gone()
        self.clients.left(self)
