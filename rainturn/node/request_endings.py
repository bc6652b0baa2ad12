"""The ends of requests: each gets its final reply once, with or without the decision module."""

from __future__ import annotations

import math
from typing import Protocol

from rainturn import interface as it
from rainturn.node.metrics import Ending, Metrics
from rainturn.node.outgoing_calls import AttemptRunner
from rainturn.node.requests import Attempt, Request


class RequestOwner(Protocol):
    """The part of the node that the ends of requests use."""

    settings: it.Settings
    metrics: Metrics
    hosts: AttemptRunner
    unanswered: int

    def dispatch(self, event: it.Event) -> None:
        """Pass an event to the decision module and carry out its actions."""

    def end_attempt(self, attempt: Attempt, outcome: it.Outcome, value: bytes = b"") -> None:
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
                self.owner.end_attempt(attempt, outcome)

    def end_now(self, request: Request) -> None:
        """Send the final reply without the decision module: a refusal where rule 2 allows one."""
        transfer = request.transfer
        self.withdraw_value(request)
        if not request.is_finished:
            self._give_up(request)
        if transfer is not None:
            self.owner.hosts.drop(transfer.attempt)
            self.owner.end_attempt(transfer.attempt, it.Outcome.CANCELLED)

    def _give_up(self, request: Request) -> None:
        """Send a refusal if a repeat is harmless, otherwise a failure, without the decision module."""
        if self._may_refuse(request):
            self.finish(request, Ending.DROPPED)
            request.client.send_refusal(request, 0.0, math.inf)
        else:
            self.finish(request, Ending.BAD_GATEWAY)
            request.client.send_failure(request)
        self.owner.dispatch(it.RequestGone(request.number))
        if not request.is_forwarded_whole():
            self.drop_attempts(request)

    def _may_refuse(self, request: Request) -> bool:
        """Return whether a repeat of this request is harmless."""
        effect = self.owner.settings.classes[request.arrival.request_class].effect
        return effect is it.Effect.SAFE or not request.may_run()

    def withdraw_value(self, request: Request) -> None:
        """Take back a long value that cannot be completed; this ends the request if a part of it was sent."""
        if request.transfer is None:
            return
        is_answerable = request.client.withdraw_value(request)
        request.transfer = None
        if not is_answerable:
            self.finish(request, Ending.BAD_GATEWAY)
            self.owner.dispatch(it.RequestGone(request.number))

    def finish(self, request: Request, ending: Ending | None) -> None:
        """Mark a request as ended, once. An ending of None means that its client left; it is not counted."""
        request.is_finished = True
        if request.body is not None:
            request.body.discard_rest()
        if ending is not None:
            self.owner.metrics.count_ending(request.arrival.request_class, ending)
        self.owner.unanswered -= 1

    def refuse(self, request: Request, backoff_ms: float, harmless_until: float) -> None:
        """Send a refusal, unless the request has ended or a long value of it has begun."""
        if request.is_unanswered():
            self.finish(request, Ending.DROPPED)
            request.client.send_refusal(request, backoff_ms, harmless_until)

    def fail(self, request: Request) -> None:
        """Send a failure, unless the request has ended or a long value of it has begun."""
        if request.is_unanswered():
            self.finish(request, Ending.BAD_GATEWAY)
            request.client.send_failure(request)
