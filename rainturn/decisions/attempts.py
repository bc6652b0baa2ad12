"""The open requests: each is sent, repeated, moved or held until it has its final answer."""

import math

from rainturn import interface as it
from rainturn.component import Component, Shared
from rainturn.decisions import quota
from rainturn.decisions.hosts import SUSPECT_FAILURES, Hosts
from rainturn.interface import Outcome
from rainturn.records import Attempt, Customer, PendingRequest
from rainturn.timers import HoldTimers

RECHECK_MS = 20.0  # margin to deadlines and pause between looks at held requests: short against targets
HELD_UP_MS = 150.0  # a gateway may be held up for so long between reading its clock and writing (protocol)
RETRY_SHARE = 0.1  # further attempts earned by each first one, so that retries cannot feed an overload
RETRY_BANK = 10.0
HOLD_SHARE = 0.6  # part of the target that a request may be held for want of a host, slot or total
NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT)
NEVER_SENT = (Outcome.UNREACHABLE, Outcome.MOOT)


class Attempts(Component):
    """Owns the requests from their arrival to the end of their last attempt."""

    def __init__(self, shared: Shared, hosts: Hosts, calls: quota.CounterCalls) -> None:
        super().__init__(shared)
        self.hosts, self.calls, self.limits = hosts, calls, self.settings.limits
        self.open: dict[int, PendingRequest] = {}
        self.parked: dict[int, PendingRequest] = {}  # open ones held for want of a host or of ceiling
        self.ended: dict[int, PendingRequest] = {}  # with attempts still out
        self.retry_bank = RETRY_BANK
        self.hold_timers = HoldTimers(self.timers, self._expire)

    def send_first(self, now: float, request: PendingRequest) -> None:
        """The first send earns its part of a further attempt."""
        self.retry_bank = min(RETRY_BANK, self.retry_bank + RETRY_SHARE)
        self._send(now, request)

    def _send(self, now: float, request: PendingRequest) -> None:
        """Start an attempt, or park the request until a host may be used."""
        number, klass = len(request.attempts), request.request_class
        host = self.hosts.choose(now, request) if number < self.limits.max_attempts else None
        if host is None or (not number and not self._draw_ceiling(now, request)):
            return self._park(now, request)
        self.parked.pop(request.id, None)
        if request.whole:
            self.hosts.index.add_load(now, host)
        host.tried_at = now
        if request.customer is not None:
            request.customer.open_attempts += 1
        anchor, within = request.anchor(), math.inf
        if anchor is not None and klass.effect is it.Effect.KEYED:  # also if it waits for a connection
            within = self._repeats_end(klass, anchor) - now
        request.attempts.append(Attempt(host, now, request.whole))
        request.moving = False
        self.actions.append(it.Send(request.id, host.id, 0.0, within))
        self.timers.after(now, self.hosts.patience_ms(request, host), self._check_progress, request, number)

    def _draw_ceiling(self, now: float, request: PendingRequest) -> bool:
        """Rule 5: units leave the store at the first send itself, else held requests gather into a burst."""
        customer = request.customer
        if customer is not None and customer.plan.ceiling_rate:
            quota.refill_buckets(customer, now)
            if customer.ceiling_level < request.units:
                return False
            customer.ceiling_level -= request.units
        return True

    def _park(self, now: float, request: PendingRequest) -> None:
        if not self.parked:
            self.timers.after(now, RECHECK_MS, self._recheck_parked)
        if request.id not in self.parked and not request.open_attempts():
            self.hold(now, request)
        self.parked[request.id] = request

    def retry_parked(self, now: float) -> None:
        """Look again for hosts and ceiling for the requests held for want of them."""
        for request in list(self.parked.values()):
            if request.attempts and not request.open_attempts() and not self._may_repeat(now, request):
                self._give_up(now, request)  # the time in which it may be repeated is over
            else:
                self._send(now, request)

    def _recheck_parked(self, now: float) -> None:
        self.retry_parked(now)
        if self.parked:
            self.timers.after(now, RECHECK_MS, self._recheck_parked)

    def hold(self, now: float, request: PendingRequest) -> None:
        """See that a held request is answered in time (rule 1)."""
        longest = request.arrived_at + HOLD_SHARE * request.request_class.aim_ms
        self.hold_timers.hold(now, request, min(request.deadline - 2 * RECHECK_MS, longest))

    def _expire(self, now: float, request: PendingRequest) -> None:
        if request.id in self.open and not request.open_attempts():
            self._give_up(now, request)

    def body_whole(self, now: float, event: it.BodyWhole) -> None:
        """A host begins with the last byte: only from here an attempt is load, and silence counts."""
        request = self.open.get(event.request)
        if request is not None:
            request.whole, request.deadline, request.arrived_at = True, event.deadline, now
            for attempt in request.begin_load(now):
                self.hosts.index.add_load(now, attempt.host)

    def answer_began(self, now: float, event: it.StreamBegan) -> None:
        """An answer has begun and is learnt from; how long the rest takes tells nothing."""
        request = self.open.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        request.bound = True
        attempt = request.attempts[event.attempt]
        if attempt.is_load:
            attempt.end_load()
            host, elapsed = attempt.host, now - attempt.sent_at
            end = it.AttemptEnded(request.id, event.attempt, host.id, Outcome.OK, elapsed, False)
            self.hosts.learn(now, end, host, request)

    def attempt_ended(self, now: float, event: it.AttemptEnded) -> Customer | None:
        """Learn from an end, go on with its request if that is open; return who may have a slot free."""
        request = self.open.get(event.request)
        holder = request or self.ended.get(event.request)
        attempt = holder.attempt(event.attempt) if holder is not None else None
        if holder is not None and event.outcome not in NEVER_SENT:
            holder.charged = False
        host = self.hosts.index.hosts.get(event.host)
        if host is not None:
            is_load = attempt is None or attempt.is_load
            host.drop_load(is_load)
            if is_load or event.outcome not in (Outcome.OK, Outcome.CANCELLED):
                self.hosts.learn(now, event, host, request)
            self.hosts.index.forget_if_gone(host)
        if holder is None or attempt is None:
            return None
        self._release(now, holder, attempt)
        if request is not None:
            attempt.may_have_run = attempt.may_have_run and event.outcome not in NEVER_RAN
            request.bound = request.bound or event.spent
            self._go_on(now, event, request)
        return holder.customer

    def _release(self, now: float, request: PendingRequest, attempt: Attempt) -> None:
        """One of a customer's attempts has ended, perhaps after its request."""
        if request.customer is not None and attempt.out:
            request.customer.open_attempts -= 1
        attempt.out = False
        if request.id in self.ended and not request.open_attempts():
            del self.ended[request.id]
            self._uncharge(now, request)

    def _go_on(self, now: float, event: it.AttemptEnded, request: PendingRequest) -> None:
        """Close the request, or try again unless another attempt is out."""
        cost = 0.0 if event.outcome in NEVER_SENT or request.moving else 1.0
        if event.final:
            if event.final_units is not None and request.customer is not None:
                self.calls.charge(now, request.customer, event.final_units - request.units)
            self._close(now, request)
        elif request.open_attempts():
            return
        elif self._may_repeat(now, request) and self.retry_bank >= cost:
            self.retry_bank -= cost
            self._send(now, request)
        else:
            self._give_up(now, request)

    def _may_repeat(self, now: float, request: PendingRequest) -> bool:
        """Rule 2, and no attempt whose answer would be worth nothing."""
        klass, anchor = request.request_class, request.anchor()
        if request.bound or len(request.attempts) >= self.limits.max_attempts:
            return False
        if now >= request.deadline - RECHECK_MS:
            return False
        if not klass.late_worth and now > request.arrived_at + klass.aim_ms:
            return False
        if anchor is None or klass.effect is it.Effect.SAFE:
            return True
        return klass.effect is it.Effect.KEYED and now < self._repeats_end(klass, anchor)

    def _repeats_end(self, klass: it.RequestClass, anchor: Attempt) -> float:
        """Until when hosts surely drop a repeat of a keyed request, which may be written late."""
        return anchor.sent_at + klass.window_ms - HELD_UP_MS - RECHECK_MS

    def refuse(self, now: float, request: PendingRequest, backoff_ms: float = 0.0) -> None:
        """Refuse at once, and say when to come back where that is known."""
        self._close(now, request)
        self.actions.append(it.Refuse(request.id, backoff_ms))

    def _give_up(self, now: float, request: PendingRequest) -> None:
        """End a request: a refusal only where a new try is proved harmless (rule 2)."""
        until = self._harmless_until(request)
        self._close(now, request)
        self.actions.append(it.Refuse(request.id, 0.0, until) if now < until else it.Fail(request.id))

    def _harmless_until(self, request: PendingRequest) -> float:
        """Until when a new try has no further effect: nothing ran, or hosts still drop it as a repeat."""
        klass, anchor = request.request_class, request.anchor()
        if anchor is None or klass.effect is it.Effect.SAFE:
            return math.inf
        dropped_anywhere = klass.effect is it.Effect.KEYED and klass.group is it.Group.ALL
        return self._repeats_end(klass, anchor) if dropped_anywhere else -math.inf

    def _close(self, now: float, request: PendingRequest) -> None:
        """Forget a request that has its answer; attempts still out only report to their hosts."""
        self.open.pop(request.id, None)
        self.parked.pop(request.id, None)
        if request.open_attempts():
            self.ended[request.id] = request
        else:
            self._uncharge(now, request)

    def _uncharge(self, now: float, request: PendingRequest) -> None:
        """Give back the units of a request that has ended and never came to a host: it has taken none."""
        if request.charged and request.customer is not None:
            request.charged = False
            self.calls.charge(now, request.customer, -request.units)

    def client_left(self, now: float, event: it.RequestGone) -> None:
        """Close the request; attempts that still fill its customer's cap are called off."""
        request = self.open.get(event.request)
        if request is None:
            return
        self._close(now, request)
        if request.customer is not None and request.customer.plan.parallel and self.limits.may_cancel:
            out = [number for number, attempt in enumerate(request.attempts) if attempt.out]
            self.actions += [it.Cancel(request.id, number) for number in out]

    def overdue(self, now: float, since: float) -> int:
        """How many whole requests that came after `since` are out past half of their target time."""
        return sum(self._is_overdue(now, request, since) for request in self.open.values())

    def _is_overdue(self, now: float, request: PendingRequest, since: float) -> bool:
        if now - request.arrived_at <= request.request_class.aim_ms / 2 or request.arrived_at < since:
            return False
        out = request.whole and not request.bound and request.anchor() is not None
        return out and request.attempts[-1].host.failures < SUSPECT_FAILURES

    def _check_progress(self, now: float, request: PendingRequest, number: int) -> None:
        """Move a request off a host that has answered nothing since; slow but talking hosts have longer.

        Guards against a connection that went silent while its host answers on others, which would keep the
        request until the deadline. Harm: a very costly request may be begun a second time.
        """
        attempt = request.attempts[number]
        if not attempt.out or request.id not in self.open or request.open_attempts() != 1 or request.moving:
            return
        host, wait_ms = attempt.host, self.hosts.patience_ms(request, attempt.host)
        talks = host.heard_at > attempt.sent_at
        stays = talks and now - attempt.sent_at < wait_ms * max(1.0, host.slowness(now))
        if now <= self.hosts.evidence_since:  # just back from a stall: the answer may be in the backlog
            return self.timers.after(now, RECHECK_MS, self._check_progress, request, number)
        if (
            request.passed_on
            or request.bound
            or stays
            or self.retry_bank < 1.0
            or not self._may_repeat(now, request)
        ):
            return self.timers.after(now, wait_ms, self._check_progress, request, number)
        self.retry_bank -= 1.0
        if not talks:
            self.hosts.failed(now, host)
        if self.limits.may_duplicate and request.request_class.effect is not it.Effect.UNSAFE:
            self._send(now, request)
            self.parked.pop(request.id, None)
        elif self.limits.may_cancel:
            self.actions.append(it.Cancel(request.id, number))
        request.moving = True
