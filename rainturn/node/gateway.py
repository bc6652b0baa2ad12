"""Connects the decision module to the event loop: events, actions, timers and the table of open requests."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from rainturn import interface as it
from rainturn.decisions import Gateway
from rainturn.node.clock import Clock
from rainturn.node.end_log import OUTCOME_REASONS, AttemptEnd, EndLog, RequestEnd, Traffic
from rainturn.node.memory_account import MemoryAccount
from rainturn.node.metrics import Ending, Metrics
from rainturn.node.outgoing_calls import AttemptRunner, CounterCaller
from rainturn.node.request_deadlines import RequestDeadlines
from rainturn.node.request_endings import RequestEndings
from rainturn.node.request_ids import RequestIds
from rainturn.node.requests import Attempt, Request, StreamStart, ValueSource, ValueTransfer

log = logging.getLogger(__name__)

TIMER_RECHECK_MS = 20.0  # delay before the timers are checked after an exception in the decision module


def longest_window_ms(settings: it.Settings) -> float:
    """Return how long a request may still have effects after its client has left, by all classes."""
    return max((max(c.deadline_ms, c.window_ms) for c in settings.classes), default=0.0)


class Node:
    """Passes events to the decision module in order and carries out the actions that it returns."""

    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        memory: MemoryAccount,
    ) -> None:
        self.settings, self.clock, self.loop, self.memory = settings, clock, loop, memory
        self.decision_module = Gateway(settings, seed)
        self.metrics, self.end_log = Metrics(len(settings.classes)), EndLog()
        self.hosts: AttemptRunner
        self.counter: CounterCaller
        self.requests: dict[int, Request] = {}
        self.deadlines = RequestDeadlines(clock, loop, self._on_deadline)
        self.endings = RequestEndings(self)
        self.request_ids = RequestIds(longest_window_ms(settings))
        self.last_request_number = self.unanswered = 0
        self._events: deque[it.Event] = deque()
        self._handling = False
        self.is_stopping = False  # whether the process ends soon
        self.list_incomplete = False  # whether only the first part of the first host list has been applied
        self._action_handlers: dict[type, Callable[..., None]] = {
            it.Send: self._send,
            it.Cancel: self._cancel,
            it.Refuse: self._refuse,
            it.Fail: self._fail,
            it.Count: lambda action, now: self.counter.call(action.name, action.amount, action.ttl),
            it.SetTimer: self._set_timer,
            it.WatchList: lambda action, now: None,  # the host list is always watched
            it.Note: lambda action, now: log.info("decision module: %s", action.text),
        }

    def is_ready(self) -> bool:
        """Return whether clients may connect: the first host list is complete, the decision module ready."""
        return not self.list_incomplete and self.decision_module.is_ready(self.clock.now())

    # Events and actions.

    def dispatch(self, event: it.Event) -> None:
        """Pass an event to the decision module and carry out its actions.

        Events that occur while actions are carried out are queued until these actions are done.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: it.Event) -> None:
        now = self.clock.now()
        try:
            actions = self.decision_module.handle(now, event)
        except Exception:
            # Guards against an error in the decision module ending the process or losing requests. The
            # actions decided before the error are carried out, the request of the event fails, and the timers
            # are checked again, because some may not have been set. Other requests that were lost are
            # answered at their deadline.
            log.exception("decision module failed on %s", type(event).__name__)
            actions = self.decision_module.actions
            number = getattr(event, "request", None)
            if number in self.requests:
                actions = [*actions, it.Fail(number, it.RefusalReason.DECISION_ERROR)]
            self.loop.call_later(TIMER_RECHECK_MS / 1000, self.dispatch, it.TimerFired(0))
        for action in actions:
            try:
                self._action_handlers[type(action)](action, now)
            except Exception:
                log.exception("could not carry out %s", action)
                number = getattr(action, "request", None)
                if number in self.requests and not isinstance(action, it.Cancel):
                    self._fail(it.Fail(number, it.RefusalReason.DECISION_ERROR), now)
        number = getattr(event, "request", None)
        if number is not None:
            self._forget_if_finished(number)

    def _forget_if_finished(self, number: int) -> None:
        """Drop a request that has ended and has no open attempt; the decision module has handled its end."""
        request = self.requests.get(number)
        if request is not None and request.is_finished and not request.open_attempts:
            del self.requests[number]
            if request.client_has_left and request.may_have_run:
                self.request_ids.remember(request.arguments[2], self.clock.now())
            else:
                self.request_ids.discard(request.arguments[2])
            self.memory.change(-request.held_bytes)
            self.deadlines.cancel(request)

    # Requests.

    def add_request(self, request: Request) -> None:
        """Register a request of a client, and pass its arrival to the decision module."""
        self.requests[request.number] = request
        request.began_at = self.clock.now()
        self.request_ids.add(request.arguments[2])
        self.unanswered += 1
        self.memory.change(request.held_bytes)
        self.deadlines.start(request)
        self.dispatch(request.arrival)

    def complete_body(self, request: Request, arrived_at: float) -> None:
        """Let the time of a request begin whose streamed body is complete since `arrived_at` (Unix ms)."""
        if not request.is_finished:
            self.deadlines.begin_time(request, arrived_at)
            self.dispatch(it.BodyComplete(request.number, request.deadline))

    def in_progress(self) -> int:
        """Return how many requests have arrived completely and have not ended."""
        return sum(not request.is_finished and request.is_complete() for request in self.requests.values())

    def abandon_request(self, request: Request, reason: RequestEnd = RequestEnd.CLIENT_LEFT) -> None:
        """End a request whose client has disconnected, or has not sent all of it; it gets no reply."""
        if request.is_finished:
            return
        request.client_has_left = True
        is_pointless = not request.is_forwarded_whole() or request.transfer is not None
        self.endings.finish(request, None, reason)
        self.dispatch(it.RequestGone(request.number))
        if is_pointless:  # an incomplete command never runs, and a value has no recipient
            self.endings.drop_attempts(request)
        self._forget_if_finished(request.number)

    def _on_deadline(self, request: Request) -> None:
        """End the attempts as timed out, and then the request itself if it is still open.

        A value that is being sent as it arrives has begun in time; its attempt goes on. An answer that its
        host is still writing is awaited for a short time; a long value is then sent as it arrives.
        """
        if not (request.is_finished or request.is_streaming()):
            if not request.has_grace and self._answer_in_progress(request) is not None:
                return self.deadlines.extend(request)
            self._stream_value_in_progress(request)
        for attempt in request.attempts:
            if attempt is not None and not (request.is_streaming() and request.is_fed_by(attempt)):
                self._time_out(attempt)
        if not (request.is_finished or request.is_streaming()):
            # Guards against a request that the decision module has lost or holds too long: rule 1 demands a
            # reply to every request.
            log.warning("request without a reply at its deadline")
            self.endings.end_now(request, RequestEnd.DEADLINE)
        self._forget_if_finished(request.number)

    def _refuse(self, action: it.Refuse, now: float) -> None:
        if (request := self.requests.get(action.request)) is not None:
            self.endings.refuse(request, action)
        self._forget_if_finished(action.request)

    def _fail(self, action: it.Fail, now: float) -> None:
        if (request := self.requests.get(action.request)) is not None:
            self.endings.fail(request, action.reason)
        self._forget_if_finished(action.request)

    # Attempts.

    def _send(self, action: it.Send, now: float) -> None:
        request = self.requests.get(action.request)
        if request is None:
            return self.dispatch(
                it.AttemptEnded(action.request, 0, action.host, it.Outcome.NOT_SENT, 0.0, True)
            )
        deadline = min(request.deadline, now + action.timeout) if action.timeout else request.deadline
        attempt = Attempt(
            request, len(request.attempts), action.host, now, deadline, now + action.start_within
        )
        request.attempts.append(attempt)
        request.open_attempts += 1
        limit = self.settings.limits.max_attempts
        if not request.is_unanswered() or attempt.number >= limit or deadline <= now:
            return self.end_attempt(attempt, it.Outcome.NOT_SENT)
        if deadline < request.deadline:
            attempt.timer = self.loop.call_later((deadline - now) / 1000, self._time_out, attempt)
        if not attempt.number:
            self.request_ids.note_sent(request.arguments[2])
        self.hosts.start(attempt)

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.request.attempts[attempt.number] is attempt:
            outcome = it.Outcome.TIMEOUT if attempt.is_out() else it.Outcome.UNREACHABLE
            self.hosts.drop(attempt)
            self.end_attempt(attempt, outcome)

    def _cancel(self, action: it.Cancel, now: float) -> None:
        request = self.requests.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            return
        if (attempt := request.attempts[action.attempt]) is not None:
            self.hosts.drop(attempt)
            self.end_attempt(attempt, it.Outcome.CANCELLED)

    def begin_streaming(self, attempt: Attempt, length: int, source: ValueSource) -> StreamStart:
        """Begin to pass a long value of `length` bytes on to the client.

        Deadlines no longer apply if it is sent as it arrives. If it has to be buffered and there is no room,
        it may be tried again later; the request ends now if there can never be room.
        """
        request = attempt.request
        if not request.is_unanswered():
            return StreamStart.UNWANTED
        request.transfer = ValueTransfer(attempt, source)
        if not request.client.begin_value(request, length):
            request.transfer = None
            if length <= self.memory.limit_bytes:
                return StreamStart.NO_ROOM
            self.endings.end_now(request, RequestEnd.NO_ROOM)
            return StreamStart.UNWANTED
        if request.is_streaming() and attempt.timer is not None:
            attempt.timer.cancel()
        self.dispatch(it.StreamBegan(request.number, attempt.number))
        return StreamStart.BEGUN

    def end_attempt(
        self,
        attempt: Attempt,
        outcome: it.Outcome,
        value: bytes = b"",
        reason: AttemptEnd | None = None,
    ) -> None:
        """Report the end of an attempt to the decision module, once; without a reason the outcome tells it.

        The first value is sent to the client without a decision. A long value that has begun ends only with
        its own attempt.
        """
        request = attempt.request
        if request.attempts[attempt.number] is not attempt:
            return
        request.attempts[attempt.number] = None
        request.open_attempts -= 1
        if attempt.timer is not None:
            attempt.timer.cancel()
        if outcome not in (it.Outcome.FULL, it.Outcome.UNREACHABLE, it.Outcome.NOT_SENT):
            request.may_have_run = True
        self._record_attempt_end(attempt, reason or OUTCOME_REASONS[outcome])
        is_withdrawn = self._pass_on_end(attempt, outcome, value)
        elapsed = max(0.0, self.clock.now() - attempt.started_at)
        body_consumed = request.body is not None and request.body.was_forwarded
        self.dispatch(
            it.AttemptEnded(
                request.number,
                attempt.number,
                attempt.host,
                outcome,
                elapsed,
                request.is_finished,
                body_consumed=body_consumed,
                answer_withdrawn=is_withdrawn,
            )
        )

    def _record_attempt_end(self, attempt: Attempt, reason: AttemptEnd) -> None:
        now = self.clock.now()
        self.end_log.attempt(
            attempt.request.arguments[2],
            attempt.number,
            attempt.host,
            attempt.connection_number,
            reason,
            Traffic(
                attempt.received_bytes,
                attempt.sent_bytes,
                now - attempt.began_at,
                attempt.request.deadline - now,
            ),
        )

    def _pass_on_end(self, attempt: Attempt, outcome: it.Outcome, value: bytes) -> bool:
        """Send the client what the end of an attempt gives; return whether its long value was withdrawn."""
        request = attempt.request
        if request.is_finished:
            return False
        if request.is_fed_by(attempt):
            if outcome is not it.Outcome.OK:
                self.endings.withdraw_value(request)
                return not request.is_finished
            request.transfer = None
            self.endings.finish(
                request, Ending.PASSED, RequestEnd.PASSED, lambda: request.client.end_value(request)
            )
        elif outcome is it.Outcome.OK and not request.is_streaming():
            self.endings.withdraw_value(request)  # of another attempt, which the client has got nothing of
            self.endings.finish(
                request, Ending.PASSED, RequestEnd.PASSED, lambda: request.client.send_value(request, value)
            )
        return False

    # Answers in progress at their deadline.

    def _answer_in_progress(self, request: Request) -> Attempt | None:
        """Return the attempt whose host is still writing its answer, if there is one."""
        now, transfer = self.clock.now(), request.transfer
        for attempt in request.attempts if transfer is None else [transfer.attempt]:
            if attempt is not None and attempt.progress is not None and attempt.progress.is_steady(now):
                return attempt
        return None

    def _stream_value_in_progress(self, request: Request) -> None:
        """Send a long value that its host is still writing as it arrives, also with commands behind it.

        Their replies wait for its end, and are lost if it breaks off: its connection has to end then. So
        none is sent that SIGKILL may break off.
        """
        if self.is_stopping:
            return
        if request.transfer is not None and self._answer_in_progress(request) is not None:
            log.info("request id=%s: its value is sent as it arrives", request.arguments[2].decode())
            request.client.release_value(request)

    # Timers.

    def _set_timer(self, action: it.SetTimer, now: float) -> None:
        self._start_timer(now + action.delay, action.token)

    def _start_timer(self, due: float, token: int) -> None:
        time_left_ms = max(0.0, due - self.clock.now())
        self.loop.call_later(time_left_ms / 1000, self._on_timer, due, token)

    def _on_timer(self, due: float, token: int) -> None:
        """Report a timer to the decision module once its time (Unix time in ms) has come.

        Guards against a timer that the event loop runs a fraction of a millisecond early: the decision module
        would ignore it and set no other, so that its timers would stop for good.
        """
        if self.clock.now() < due:
            self.loop.call_later(0.001, self._on_timer, due, token)
        else:
            self.dispatch(it.TimerFired(token))
