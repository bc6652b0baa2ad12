"""Open requests: each one is sent, repeated, moved or held until it has its final answer."""

import math

from rainturn import interface as it
from rainturn.component import Component, SharedState
from rainturn.decisions import quota
from rainturn.decisions.hosts import SUSPECT_FAILURES, HostSelector
from rainturn.interface import Outcome, RefusalReason
from rainturn.records import Attempt, Customer, PendingRequest
from rainturn.timers import HoldTimers

RECHECK_MS = 20.0  # interval of checks on queued requests, margin before deadlines: short against targets
MAX_WRITE_DELAY_MS = 150.0  # how late after reading its clock a gateway may write, by the protocol
RETRY_BUDGET_RATIO = 0.1  # repeats earned by each first attempt, so that repeats cannot feed an overload
MAX_RETRY_BUDGET = 10.0
MAX_HOLD_SHARE = 0.6  # part of the target time for which a request may wait for a host, a slot or a total
NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT)
NEVER_SENT = (Outcome.UNREACHABLE, Outcome.NOT_SENT)


class Attempts(Component):
    """The requests from their arrival to the end of their last attempt."""

    def __init__(self, shared: SharedState, hosts: HostSelector, calls: quota.CounterCalls) -> None:
        super().__init__(shared)
        self.hosts, self.calls, self.limits = hosts, calls, self.settings.limits
        self.open: dict[int, PendingRequest] = {}
        self.queued: dict[int, PendingRequest] = {}  # open ones held for a host or for ceiling units
        self.ended: dict[int, PendingRequest] = {}  # answered, but with attempts still open
        self.retry_budget = MAX_RETRY_BUDGET
        self.has_predecessor = False  # whether an older process of this gateway still serves
        self.hold_timers = HoldTimers(self.timers, self._expire)

    def send_first(self, now: float, request: PendingRequest) -> None:
        """Send a request for the first time, which adds to the retry budget."""
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_RATIO)
        self._send(now, request)

    def _send(self, now: float, request: PendingRequest) -> None:
        """Start an attempt, or queue the request until a host and ceiling units are available."""
        number, request_class = len(request.attempts), request.request_class
        host = self.hosts.choose(now, request) if number < self.limits.max_attempts else None
        if host is None or (not number and not self._take_ceiling_units(now, request)):
            return self._enqueue(now, request)
        self.queued.pop(request.id, None)
        if request.is_complete:
            self.hosts.index.add_load(now, host)
        host.tried_at = now
        if request.customer is not None:
            request.customer.open_attempts += 1
        first_run, within = request.first_run(), math.inf
        if first_run is not None and request_class.effect is it.Effect.KEYED:  # the limit includes connecting
            within = self._repeat_until(request_class, first_run) - now
        request.attempts.append(Attempt(host, now, request.is_complete))
        request.is_moving = False
        self.actions.append(it.Send(request.id, host.id, 0.0, within))
        self.timers.after(
            now, self.hosts.max_silence_ms(request, host), self._check_silence, request.id, number
        )

    def _take_ceiling_units(self, now: float, request: PendingRequest) -> bool:
        """Take the units of a first attempt from the ceiling bucket; return whether it held enough (rule 5).

        Taking them earlier would let held requests gather and then exceed the ceiling in one burst.
        """
        customer = request.customer
        if customer is not None and customer.plan.ceiling_rate:
            quota.refill_buckets(customer, now)
            if self.has_predecessor or customer.ceiling_level < request.units:
                return False
            customer.ceiling_level -= request.units
        return True

    def _enqueue(self, now: float, request: PendingRequest) -> None:
        if not self.queued:
            self.timers.after(now, RECHECK_MS, self._recheck_queued)
        if request.id not in self.queued and not request.open_attempts():
            self.hold(now, request)
        self.queued[request.id] = request

    def retry_queued(self, now: float) -> None:
        """Try to send the queued requests, and give up those that may no longer be repeated."""
        for request in list(self.queued.values()):
            if request.attempts and not request.open_attempts() and not self._may_repeat(now, request):
                self._give_up(now, request)
            else:
                self._send(now, request)

    def _recheck_queued(self, now: float) -> None:
        self.retry_queued(now)
        if self.queued:
            self.timers.after(now, RECHECK_MS, self._recheck_queued)

    def hold(self, now: float, request: PendingRequest) -> None:
        """Set the time at which a held request is given up, so that it is answered in time (rule 1)."""
        latest = request.arrived_at + MAX_HOLD_SHARE * request.request_class.aim_ms
        self.hold_timers.hold(now, request, min(request.deadline - 2 * RECHECK_MS, latest))

    def _expire(self, now: float, request: PendingRequest) -> None:
        if request.id in self.open and not request.open_attempts():
            self._give_up(now, request)

    def on_body_complete(self, now: float, event: it.BodyComplete) -> None:
        """Start counting attempts as load, and their hosts' silence: hosts start work at the last byte."""
        request = self.open.get(event.request)
        if request is not None:
            request.is_complete, request.deadline, request.arrived_at = True, event.deadline, now
            for attempt in request.begin_load(now):
                self.hosts.index.add_load(now, attempt.host)

    def on_answer_began(self, now: float, event: it.StreamBegan) -> None:
        """Record the time until an answer began; how long the rest takes shows nothing about the host."""
        request = self.open.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        request.is_bound = True
        attempt = request.attempts[event.attempt]
        if attempt.is_load:
            attempt.end_load()
            host, elapsed = attempt.host, now - attempt.sent_at
            end = it.AttemptEnded(request.id, event.attempt, host.id, Outcome.OK, elapsed, False)
            self.hosts.record(now, end, host, request)

    def on_answer_part(self, now: float, event: it.AnswerBegan) -> None:
        """Note that an attempt's answer has begun: it is not moved any more, whatever pauses follow."""
        if (attempt := self._open_attempt(event.request, event.attempt)) is not None:
            attempt.has_begun_answer = True

    def on_command_transfer(self, now: float, event: it.CommandTransfer) -> None:
        """Note whether a host is still taking a command; its silence counts from the end of that."""
        if (attempt := self._open_attempt(event.request, event.attempt)) is not None:
            attempt.is_being_sent = event.is_under_way
            attempt.silent_since = now

    def _open_attempt(self, request_id: int, number: int) -> Attempt | None:
        request = self.open.get(request_id)
        return request.attempt(number) if request is not None else None

    def on_attempt_ended(self, now: float, event: it.AttemptEnded) -> Customer | None:
        """Record how an attempt ended and continue its request; return the customer if a slot may be free."""
        request = self.open.get(event.request)
        owner = request or self.ended.get(event.request)
        attempt = owner.attempt(event.attempt) if owner is not None else None
        if owner is not None and event.outcome not in NEVER_SENT:
            owner.is_refundable = False
        host = self.hosts.index.hosts.get(event.host)
        if host is not None:
            is_load = attempt is None or attempt.is_load
            host.drop_load(is_load)
            if is_load or event.outcome not in (Outcome.OK, Outcome.CANCELLED):
                self.hosts.record(now, event, host, request)
            self.hosts.index.forget_if_gone(host)
        if owner is None or attempt is None:
            return None
        self._finish_attempt(now, owner, attempt)
        if request is not None:
            attempt.may_have_run = attempt.may_have_run and event.outcome not in NEVER_RAN
            request.is_bound = (request.is_bound and not event.answer_withdrawn) or event.body_consumed
            self._continue(now, event, request)
        return owner.customer

    def _finish_attempt(self, now: float, request: PendingRequest, attempt: Attempt) -> None:
        """Close an attempt, whose request may have ended before it."""
        if request.customer is not None and attempt.is_open:
            request.customer.open_attempts -= 1
        attempt.is_open = False
        if request.id in self.ended and not request.open_attempts():
            del self.ended[request.id]
            self._refund_units(now, request)

    def _continue(self, now: float, event: it.AttemptEnded, request: PendingRequest) -> None:
        """Close the request after a final answer; otherwise repeat it unless another attempt is open."""
        cost = 0.0 if event.outcome in NEVER_SENT or request.is_moving else 1.0
        if event.final:
            if event.actual_units is not None and request.customer is not None:
                self.calls.charge(now, request.customer, event.actual_units - request.units)
            self._close(now, request)
        elif request.open_attempts():
            return
        elif self._may_repeat(now, request) and self.retry_budget >= cost:
            self.retry_budget -= cost
            self._send(now, request)
        else:
            self._give_up(now, request)

    def _may_repeat(self, now: float, request: PendingRequest) -> bool:
        """Return whether rule 2 allows a repeat and its answer could still be worth something."""
        request_class, first_run = request.request_class, request.first_run()
        if request.is_bound or len(request.attempts) >= self.limits.max_attempts:
            return False
        if now >= request.deadline - RECHECK_MS:
            return False
        if not request_class.late_worth and now > request.arrived_at + request_class.aim_ms:
            return False
        if first_run is None or request_class.effect is it.Effect.SAFE:
            return True
        return request_class.effect is it.Effect.KEYED and now < self._repeat_until(request_class, first_run)

    def _repeat_until(self, request_class: it.RequestClass, first_run: Attempt) -> float:
        """Return until when hosts are sure to drop a repeat of a keyed request, even one written late."""
        return first_run.sent_at + request_class.window_ms - MAX_WRITE_DELAY_MS - RECHECK_MS

    def refuse(
        self, now: float, request: PendingRequest, reason: RefusalReason, backoff_ms: float = 0.0
    ) -> None:
        """Refuse a request at once; `backoff_ms` is when the client may come back, 0 if unknown."""
        self._close(now, request)
        self.actions.append(it.Refuse(request.id, backoff_ms, reason=reason))

    def _give_up(self, now: float, request: PendingRequest) -> None:
        """End a request: refuse it if a retry by the client is proven harmless (rule 2), else fail it."""
        until = self._retry_harmless_until(request)
        reason = self._reason_to_give_up(now, request)
        self._close(now, request)
        if now < until:
            self.actions.append(it.Refuse(request.id, 0.0, until, reason))
        else:
            self.actions.append(it.Fail(request.id, reason))

    def _reason_to_give_up(self, now: float, request: PendingRequest) -> RefusalReason:
        if now >= request.deadline - RECHECK_MS:
            return RefusalReason.DEADLINE
        return RefusalReason.NOT_REPEATABLE if request.attempts else RefusalReason.HELD_TOO_LONG

    def _retry_harmless_until(self, request: PendingRequest) -> float:
        """Return until when a retry has no second effect: nothing has run, or every host drops it."""
        request_class, first_run = request.request_class, request.first_run()
        if first_run is None or request_class.effect is it.Effect.SAFE:
            return math.inf
        dropped_anywhere = request_class.effect is it.Effect.KEYED and request_class.group is it.Group.ALL
        return self._repeat_until(request_class, first_run) if dropped_anywhere else -math.inf

    def _close(self, now: float, request: PendingRequest) -> None:
        """Remove a request that has its final answer; attempts still open only report on their hosts."""
        self.open.pop(request.id, None)
        self.queued.pop(request.id, None)
        if request.open_attempts():
            self.ended[request.id] = request
        else:
            self._refund_units(now, request)

    def _refund_units(self, now: float, request: PendingRequest) -> None:
        """Give back the units of an ended request that never reached a host: it has used none."""
        if request.is_refundable and request.customer is not None:
            request.is_refundable = False
            self.calls.charge(now, request.customer, -request.units)

    def on_client_left(self, now: float, event: it.RequestGone) -> None:
        """Close the request, and cancel its open attempts if they count against its customer's cap."""
        request = self.open.get(event.request)
        if request is None:
            return
        self._close(now, request)
        if request.customer is not None and request.customer.plan.parallel and self.limits.may_cancel:
            open_numbers = [number for number, attempt in enumerate(request.attempts) if attempt.is_open]
            self.actions += [it.Cancel(request.id, number) for number in open_numbers]

    def overdue_count(self, now: float, since: float) -> int:
        """Return how many sent requests that arrived after `since` are unanswered after half their target."""
        return sum(self._is_overdue(now, request, since) for request in self.open.values())

    def _is_overdue(self, now: float, request: PendingRequest, since: float) -> bool:
        if now - request.arrived_at <= request.request_class.aim_ms / 2 or request.arrived_at < since:
            return False
        is_unanswered = request.is_complete and not request.is_bound and request.first_run() is not None
        return is_unanswered and request.attempts[-1].host.failures < SUSPECT_FAILURES

    def _check_silence(self, now: float, request_id: int, number: int) -> None:
        """Move a request off a host that is silent: it has the command, and has sent nothing since.

        An attempt that makes progress is never given up for another host. Where a request may be at two hosts
        at once, it gets a second attempt beside the first.

        The timer holds the request's id only, so that it does not keep an answered request in memory.

        A slow host that has answered other attempts gets more time, but not without limit: a connection may
        go silent while its host answers on others, and the request would wait until its deadline. The cost is
        that a very expensive request may be started a second time.
        """
        request = self.open.get(request_id)
        if request is None or request.is_moving or request.open_attempts() != 1:
            return
        attempt = request.attempts[number]
        if not attempt.is_open:
            return
        host, limit_ms = attempt.host, self.hosts.max_silence_ms(request, attempt.host)
        silence_ms = now - attempt.silent_since
        if silence_ms < limit_ms and attempt.silent_since > attempt.sent_at:
            return self.timers.after(now, limit_ms - silence_ms, self._check_silence, request_id, number)
        has_answered = attempt.has_begun_answer or host.last_answer_at > attempt.sent_at
        may_wait = has_answered and silence_ms < limit_ms * max(1.0, host.slowness(now))
        may_hedge = self.limits.may_duplicate and request.request_class.effect is not it.Effect.UNSAFE
        if now <= self.hosts.evidence_since:  # the gateway has just stalled: the answer may be unread
            return self.timers.after(now, RECHECK_MS, self._check_silence, request_id, number)
        if (
            request.is_streamed
            or request.is_bound
            or may_wait
            or (attempt.makes_progress() and not may_hedge)
            or self.retry_budget < 1.0
            or not self._may_repeat(now, request)
        ):
            return self.timers.after(now, limit_ms, self._check_silence, request_id, number)
        self.retry_budget -= 1.0
        if not (has_answered or attempt.is_being_sent):
            self.hosts.record_failure(now, host)
        if may_hedge:
            self._send(now, request)
            self.queued.pop(request.id, None)
        elif self.limits.may_cancel:
            self.actions.append(it.Cancel(request.id, number))
        request.is_moving = True
