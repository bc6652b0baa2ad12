"""The ends of requests: each gets its final reply once, with or without the decision module."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from rainturn import interface as it
from rainturn.node.clock import Clock
from rainturn.node.end_log import AttemptEnd, EndLog, RequestEnd, Traffic
from rainturn.node.metrics import Ending, Metrics
from rainturn.node.outgoing_calls import AttemptRunner
from rainturn.node.requests import Attempt, Request


class RequestOwner(Protocol):
    """The part of the node that the ends of requests use."""

    settings: it.Settings
    metrics: Metrics
    hosts: AttemptRunner
    unanswered: int
    clock: Clock
    end_log: EndLog

    def dispatch(self, event: it.Event) -> None:
        """Pass an event to the decision module and carry out its actions."""

    def end_attempt(
        self,
        attempt: Attempt,
        outcome: it.Outcome,
        value: bytes = b"",
        reason: AttemptEnd | None = None,
    ) -> None:
        """Report the end of an attempt to the decision module, once."""


class RequestEndings:
    """Ends requests: sends the final reply, counts it, and drops attempts that nobody needs any more."""

    def __init__(self, owner: RequestOwner) -> None:
        self.owner = owner

    def drop_attempts(self, request: Request) -> None:
        """End all attempts of a request whose answers nobody needs."""
        for attempt in request.attempts:
            if attempt is not None:
                outcome = it.Outcome.CANCELLED if attempt.is_out() else it.Outcome.NOT_SENT
                self.owner.hosts.drop(attempt)
                self.owner.end_attempt(attempt, outcome, reason=AttemptEnd.NOT_NEEDED)

    def end_now(self, request: Request, reason: RequestEnd) -> None:
        """Send the final reply without the decision module: a refusal where rule 2 allows one."""
        transfer = request.transfer
        self.withdraw_value(request, reason)
        if not request.is_finished:
            self._give_up(request, reason)
        if transfer is not None:
            self.owner.hosts.drop(transfer.attempt)
            self.owner.end_attempt(transfer.attempt, it.Outcome.CANCELLED, reason=AttemptEnd.NOT_NEEDED)

    def _give_up(self, request: Request, reason: RequestEnd) -> None:
        """Send a refusal if a repeat is harmless, otherwise a failure, without the decision module."""
        client = request.client
        if self._may_refuse(request):
            self.finish(request, Ending.DROPPED, reason, lambda: client.send_refusal(request, 0.0, math.inf))
        else:
            self.finish(request, Ending.BAD_GATEWAY, reason, lambda: client.send_failure(request))
        self.owner.dispatch(it.RequestGone(request.number))
        if not request.is_forwarded_whole():
            self.drop_attempts(request)

    def _may_refuse(self, request: Request) -> bool:
        """Return whether a repeat of this request is harmless."""
        effect = self.owner.settings.classes[request.arrival.request_class].effect
        return effect is it.Effect.SAFE or not request.may_run()

    def withdraw_value(self, request: Request, reason: RequestEnd = RequestEnd.VALUE_CUT) -> None:
        """Take back a long value that cannot be completed; this ends the request if a part of it was sent."""
        if request.transfer is None:
            return
        is_answerable = request.client.withdraw_value(request)
        request.transfer = None
        if not is_answerable:
            self.finish(request, Ending.BAD_GATEWAY, reason)
            self.owner.dispatch(it.RequestGone(request.number))

    def finish(
        self,
        request: Request,
        ending: Ending | None,
        reason: RequestEnd | it.RefusalReason,
        send_reply: Callable[[], None] = lambda: None,
    ) -> None:
        """End a request, once: mark it, send the reply, and record why it ended.

        An ending of None means that its client left; it is not counted.
        """
        request.is_finished = True
        if request.body is not None:
            request.body.discard_rest()
        if ending is not None:
            self.owner.metrics.count_ending(request.arrival.request_class, ending)
        self.owner.unanswered -= 1
        send_reply()
        self._record_end(request, reason)

    def _record_end(self, request: Request, reason: RequestEnd | it.RefusalReason) -> None:
        now = self.owner.clock.now()
        age_ms, time_left_ms = now - request.began_at, request.deadline - now
        self.owner.end_log.request(
            request.arguments[2],
            request.client.number,
            request.arrival.request_class,
            len(request.attempts),
            reason,
            Traffic(request.received_bytes(), request.sent_bytes, age_ms, time_left_ms),
        )

    def refuse_unregistered(self, request: Request) -> None:
        """Record that a request is refused before the decision module hears of it, for want of room."""
        request.began_at = self.owner.clock.now()
        self.owner.metrics.count_ending(request.arrival.request_class, Ending.DROPPED)
        self._record_end(request, RequestEnd.NO_ROOM)

    def refuse(self, request: Request, action: it.Refuse) -> None:
        """Send a refusal, unless the request has ended or a long value of it has begun."""
        if request.is_unanswered():
            self.finish(
                request,
                Ending.DROPPED,
                action.reason,
                lambda: request.client.send_refusal(request, action.backoff, action.harmless_until),
            )

    def fail(self, request: Request, reason: RequestEnd | it.RefusalReason) -> None:
        """Send a failure, unless the request has ended or a long value of it has begun."""
        if request.is_unanswered():
            self.finish(request, Ending.BAD_GATEWAY, reason, lambda: request.client.send_failure(request))
