"""Connections to hosts, and the attempts that they carry, one at a time each."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable

from rainturn import interface as it
from rainturn.node.gateway import Attempt, Node
from rainturn.node.resp import LongValue, Outgoing, Spoilt, answer, end_sending, fields, pack, unsent

STALL_S = 0.5  # how long a short answer that has begun may stand still
VALUE_STALL_S = 4.0  # how long a long one may
UPLOAD_STALL_S = 3.0  # how long a host may take nothing of a body that is passed on
SETTLE_MS = 10.0  # a connection rests so long before it serves again: second answers come some ms late
IDLE_PART = 0.7  # part of the hosts' idle limit after which we close: a request must not cross their close


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

    def __init__(self, pool: Pool, address: tuple[str, int]) -> None:
        super().__init__()
        self.pool, self.address = pool, address
        self.attempt: Attempt | None = None
        self.idle_since = pool.hosts.node.clock.now()  # until then it carried something, or was not up
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
        return now - self.idle_since <= self.pool.hosts.idle_ms and not self.poll.poll(0)

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
        self.attempt.sent = self.pool.hosts.node.clock.now()
        self._written()

    def _written(self) -> None:
        if not self.unsent:
            self.pool.hosts.node.counters.upstream_tries += 1

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
            self.pool.hosts.node.counters.upstream_tries += 1
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
        if not self.pool.hosts.node.value_began(attempt, value.length, self):
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
        node = self.pool.hosts.node
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
        self.idle_since = self.pool.hosts.node.clock.now()
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
        self.stall = self.pool.hosts.node.loop.call_later(patience_s, end)

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
                self.pool.hosts.node.attempt_ended(attempt, outcome)

    def eof_received(self) -> None:
        """The host has ended its sending: no answer will come."""
        self.connection_lost(None)

    def connection_lost(self, error: Exception | None) -> None:
        """A break proves that nothing ran only while the request's last byte was still here."""
        self.close(it.Outcome.UNREACHABLE if self.unsent or self.uploading else it.Outcome.RESET)


class Pool:
    """The connections to one host and the attempts that wait for one."""

    def __init__(self, hosts: HostPools, number: int, name: str) -> None:
        self.hosts, self.number, self.name = hosts, number, name
        self.address, self.started = ("", 0), 0.0
        self.leaving = False  # whether the host drains or is gone, as far as we know
        self.gone = False
        self.idle: deque[HostConnection] = deque()  # most recently used last
        self.all: set[HostConnection] = set()
        self.connecting = 0
        self.waiting: deque[Attempt] = deque()
        self.sweeper: asyncio.TimerHandle | None = None
        self.settler: asyncio.TimerHandle | None = None  # while who could not connect waits for one to settle

    def start(self, attempt: Attempt) -> None:
        """Use a connection that rests, or open one."""
        self.waiting.append(attempt)
        self._serve()

    def _serve(self) -> None:
        """Give those who wait what has settled, and open a connection if too few are on their way."""
        self._use_settled()
        if self.connecting < len(self.waiting):
            self._open()

    def _use_settled(self) -> None:
        """Use those last used first, but none whose first answer may yet be followed by a second one."""
        now = self.hosts.node.clock.now()
        while self.waiting:
            found = next((c for c in reversed(self.idle) if now - c.idle_since >= SETTLE_MS), None)
            if found is None:
                return
            self.idle.remove(found)
            if not found.fit(now):
                found.close()
            elif not self._begin(found, self.waiting.popleft()):
                self.rest(found)

    def _settled(self) -> None:
        self.settler = None
        self._serve()

    def _begin(self, connection: HostConnection, attempt: Attempt) -> bool:
        """Write an attempt, unless its time for that has passed while it waited for a connection."""
        node, now = self.hosts.node, self.hosts.node.clock.now()
        request = attempt.request
        if request.done or self.leaving or now > attempt.begin_by or not request.client.here():
            # Guards against a connect that comes up late: the request may have ended meanwhile (rule 1), its
            # key may be forgotten (rule 2) or the host may leave by now (rule 3). Nothing was written or ran.
            # And against a client whose end is not read yet, as it is not read from or the loop was late.
            node.attempt_ended(attempt, it.Outcome.MOOT)
            return False
        connection.begin(attempt, now)
        return True

    def _open(self) -> None:
        if not self.hosts.make_room():
            # Not sent for a shortage of our own: to call the host unreachable would make a well one suspect.
            self.hosts.node.attempt_ended(self.waiting.pop(), it.Outcome.MOOT)
            return
        self.connecting += 1
        self.hosts.connecting += 1
        task = self.hosts.node.loop.create_task(self._connect())
        self.hosts.tasks.add(task)  # the loop holds tasks only weakly
        task.add_done_callback(self.hosts.tasks.discard)

    async def _connect(self) -> None:
        node = self.hosts.node
        connection: HostConnection | None = None
        address = self.address  # as it is now: the list may move the host before the connect comes up
        try:
            async with asyncio.timeout(node.settings.limits.connect_timeout_ms / 1000):
                _, connection = await node.loop.create_connection(
                    lambda: HostConnection(self, address), *address
                )
        except OSError:  # a time-out is one
            pass
        finally:
            self.connecting -= 1
            self.hosts.connecting -= 1
        if connection is not None and not connection.closed:
            self.all.add(connection)
            self.hosts.open += 1
            return self.freed(connection)
        self._use_settled()
        if self.connecting < len(self.waiting):
            if not self.idle:
                node.attempt_ended(self.waiting.popleft(), it.Outcome.UNREACHABLE)
            elif self.settler is None:  # the host may hold no more, and these will serve soon
                self.settler = node.loop.call_later(SETTLE_MS / 1000, self._settled)
        self.forget_if_over()

    def freed(self, connection: HostConnection) -> None:
        """Give a connection to the attempt that waits longest, or let it rest."""
        if connection.address != self.address:
            # Guards against a connect that was under way when the list moved the host.
            connection.close()
            return self._serve()
        while self.waiting and not connection.closed:
            if self._begin(connection, self.waiting.popleft()):
                return
        self.rest(connection)

    def rest(self, connection: HostConnection) -> None:
        """Keep a connection that carries nothing, if it may be of use."""
        if self.leaving or connection.closed or self.hosts.parting:
            return connection.close()
        self.idle.append(connection)
        if self.sweeper is None:
            self.sweeper = self.hosts.node.loop.call_later(self.hosts.idle_ms / 1000, self._sweep)

    def _sweep(self) -> None:
        """Close what has rested too long, and come back when the next is due."""
        now = self.hosts.node.clock.now()
        self.sweeper = None
        while self.idle and now - self.idle[0].idle_since >= self.hosts.idle_ms - 1:
            self.idle[0].close()
        if self.idle:
            delay = self.idle[0].idle_since + self.hosts.idle_ms - now
            self.sweeper = self.hosts.node.loop.call_later(delay / 1000, self._sweep)

    def close_idle(self) -> None:
        """Close the connections that carry nothing."""
        while self.idle:
            self.idle[0].close()

    def close_unheard(self, since: float) -> None:
        """Close resting connections that were last heard before an attempt went out and got no answer.

        Guards against a machine that vanished: its connections stay open and swallow one attempt each,
        which then may have run; a new connect that fails proves that nothing did.
        """
        while self.idle and self.idle[0].idle_since < since:
            self.idle[0].close()

    def lost(self, connection: HostConnection) -> None:
        """Forget a connection."""
        if connection in self.all:
            self.all.discard(connection)
            self.hosts.open -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self.forget_if_over()

    def forget_if_over(self) -> None:
        """Forget a host that is gone once nothing is left with it: hosts are replaced by new ones all day."""
        if self.gone and not (self.all or self.connecting or self.waiting):
            self.hosts.forget(self)


class HostPools:
    """All hosts by the module's numbers, and the budget of connections to them."""

    def __init__(self, node: Node, idle_limit_ms: float, budget: int) -> None:
        self.node, self.budget = node, budget
        self.idle_ms = idle_limit_ms * IDLE_PART
        self.pools: dict[int, Pool] = {}
        self.open = self.connecting = 0
        self.parting = False  # whether connections close with their attempt
        self.tasks: set[asyncio.Task[None]] = set()
        self.forgotten: Callable[[str], None] = lambda name: None  # told of a host that is forgotten

    def forget(self, pool: Pool) -> None:
        """Drop all that is kept of a host."""
        if self.pools.get(pool.number) is pool:
            if pool.sweeper is not None:
                pool.sweeper.cancel()
            del self.pools[pool.number]
            self.forgotten(pool.name)

    def pool(self, host: int, name: str) -> Pool:
        """The pool of a host, made when it is first named."""
        if host not in self.pools:
            self.pools[host] = Pool(self, host, name)
        return self.pools[host]

    def listed(self, host: int, address: tuple[str, int], state: it.HostState, started: float) -> None:
        """Follow the host list: connections to what a host was, or to one that leaves, are of no use."""
        pool, ready = self.pools[host], state is it.HostState.READY
        if pool.address != address or started > pool.started or not ready:
            pool.address, pool.started = address, started
            pool.close_idle()
        pool.leaving = not ready
        pool.gone = state is it.HostState.GONE
        pool.forget_if_over()

    def hand_back(self) -> None:
        """Give the module what still waits for hosts that leave; it has heard of the list by then.

        When their leaving counted as told, and so how long the grace lasts, may be known to nobody here: the
        agent may have had the news for a while. Nothing new goes to them at all.
        """
        for pool in [pool for pool in self.pools.values() if pool.leaving and pool.waiting]:
            while pool.waiting:
                self.node.attempt_ended(pool.waiting.popleft(), it.Outcome.MOOT)
            pool.forget_if_over()

    def part(self) -> None:
        """Keep no connection at rest any more."""
        self.parting = True
        for pool in list(self.pools.values()):
            pool.close_idle()

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        if (pool := self.pools.get(attempt.host)) is None:
            return self.node.attempt_ended(attempt, it.Outcome.UNREACHABLE)
        pool.start(attempt)

    def drop(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt: its connection closes, as a later answer on it would be its."""
        connection, pool = attempt.connection, self.pools.get(attempt.host)
        if isinstance(connection, HostConnection):
            connection.close()
            connection.pool.close_unheard(attempt.sent)
        elif pool is not None and attempt in pool.waiting:
            pool.waiting.remove(attempt)
            pool.forget_if_over()

    def make_room(self) -> bool:
        """Whether one more connection fits the budget, after closing an idle one if it must."""
        if self.open + self.connecting < self.budget:
            return True
        resting = [p.idle[0] for p in self.pools.values() if p.idle]
        if not resting:
            return False
        min(resting, key=lambda c: c.idle_since).close()
        return True
