"""The event loop of a gateway: hands each event to the part that decides on it."""

import math
from collections.abc import Callable
from typing import Any

from rainturn import interface as it
from rainturn.component import Component, Shared
from rainturn.counts import customer_key, is_slots_name
from rainturn.decisions.admission import PERIOD_MS, Tiers
from rainturn.decisions.attempts import RECHECK_MS, Attempts
from rainturn.decisions.hosts import Hosts
from rainturn.decisions.metering import QuotaMeter
from rainturn.decisions.quota import CounterCalls
from rainturn.decisions.slots import Slots
from rainturn.records import PendingRequest

STALL_MS = 200.0  # a timer this late shows that the gateway itself stalled: times measured are its own
FORGET_SHARE = 1 / 6  # of the periods in which idle customers are looked for


class Gateway(Component):
    """One gateway: hand it each event with the time, carry out the actions that it returns."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        shared = Shared(settings, seed)
        super().__init__(shared)
        self.tiers = Tiers(settings)
        self.host_choice = Hosts(shared, self.tiers)
        self.calls = CounterCalls(shared)
        self.attempts = Attempts(shared, self.host_choice, self.calls)
        self.slots = Slots(shared, self.attempts, self.calls)
        self.meter = QuotaMeter(shared, self.attempts, self.slots, self.calls)
        self.index = self.host_choice.index
        self.open, self.hosts, self.customers = self.attempts.open, self.index.hosts, self.meter.customers
        self.begun, self.in_service = False, True
        self.settled_at = -math.inf  # after a handover: waits so long for a fresh list
        self._handlers: dict[type[it.Event], Callable[[float, Any], Any]] = {
            it.Arrived: self._arrived,
            it.BodyWhole: self.attempts.body_whole,
            it.StreamBegan: self.attempts.answer_began,
            it.AttemptEnded: self._attempt_ended,
            it.RequestGone: self.attempts.client_left,
            it.CountAnswered: self._count_answered,
            it.TimerFired: lambda now, event: self.timers.run_due(now),
            it.HostList: self._host_list,
            it.InService: self._in_service,
            it.ProcessOverlap: self._process_overlap,
            it.ShuttingDown: self._shutting_down,
        }

    def handle(self, now: float, event: it.Event) -> list[it.Action]:
        """Decide on one event."""
        self.actions.clear()
        if not self.begun:
            self._begin(now)
        if now > self.timers.armed_for + STALL_MS:
            # Guards against taking an own stall for slow or dead hosts or a slow counter: what was sent
            # before now is no evidence. Harm: a true outage in the same moment is seen later.
            self.host_choice.evidence_since = self.timers.armed_for = now
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        return self.actions.copy()

    def ready(self, now: float) -> bool:
        """Whether clients should come: in service and settled, with a host to send to."""
        return self.in_service and now >= self.settled_at and self.index.any_ready()

    def listed(self) -> int:
        """How many hosts the list holds."""
        return len(self.index.listed())

    def skipped(self) -> int:
        """How many listed hosts get no ordinary traffic: they drain, or are suspect."""
        return self.host_choice.skipped()

    def _begin(self, now: float) -> None:
        self.begun, self.meter.started_at = True, now
        ends = now + PERIOD_MS * (0.5 + self.rng.random())  # gateways out of step
        self.attempts.hold_timers.period_ends = ends
        self.timers.after(now, ends - now, self._period)
        self._watch_list()

    def _watch_list(self) -> None:
        if self.settings.asks_for_list:
            self.actions.append(it.WatchList(True))

    def _arrived(self, now: float, event: it.Arrived) -> None:
        """Quota first, then the tiers, then the ceiling; what fails one is refused at once."""
        if not 0 <= event.request_class < len(self.settings.classes):
            return self.actions.append(it.Refuse(event.request))
        klass = self.settings.classes[event.request_class]
        request = PendingRequest(event, now, klass, self.rng.random())
        self.open[request.id] = request
        if request.deadline <= now + 2 * RECHECK_MS:  # held, it would end unanswered
            return self.attempts.refuse(now, request)
        customer, price, weight = None, 1.0, 1.0
        if 0 <= event.plan < len(self.settings.plans):
            customer = request.customer = self.meter.get_customer(now, event)
            price, weight = customer.plan.price, self.meter.pass_chance(customer, event.plan)
        tier = self.tiers.tier_of(klass.worth * price)
        if not self.tiers.admit(tier, weight):
            # The boundary tier has a new budget next period; when lower tiers are let in again is not known.
            left_ms = max(0.0, self.attempts.hold_timers.period_ends - now)
            self.attempts.refuse(now, request, left_ms if tier == self.tiers.boundary else 0.0)
        elif customer is None or not customer.plan.rate:
            self.slots.start(now, request)
        else:
            self.meter.check_quota(now, request, customer)

    def _attempt_ended(self, now: float, event: it.AttemptEnded) -> None:
        customer = self.attempts.attempt_ended(now, event)
        if customer is not None:
            self.slots.serve(now, customer)

    def _count_answered(self, now: float, event: it.CountAnswered) -> None:
        if now - event.elapsed >= self.host_choice.evidence_since:
            self.calls.record_answer(event)
        customer = self.customers.get(customer_key(event.name))
        if customer is not None:
            part = self.slots if is_slots_name(event.name) else self.meter
            part.handle_answer(now, event, customer)

    def _host_list(self, now: float, event: it.HostList) -> None:
        """Follow the list. Draining and gone hosts get nothing from here on, re-attempts included."""
        if event.kind is it.ListKind.FAILED:
            return self._watch_list()
        if event.kind is not it.ListKind.CACHED:
            self.settled_at = -math.inf
        self.index.update(now, event)
        self.attempts.retry_parked(now)

    def _in_service(self, now: float, event: it.InService) -> None:
        self.in_service = event.on

    def _process_overlap(self, now: float, event: it.ProcessOverlap) -> None:
        self.slots.processes_overlap = event.on

    def _shutting_down(self, now: float, event: it.ShuttingDown) -> None:
        for customer in self.customers.values():
            if self.settings.counter and abs(customer.unreported) >= 0.5:
                self.calls.call(now, customer)  # else the count never hears of it

    def _period(self, now: float) -> None:
        """The paper's step, looked for every period, and what grows old."""
        self.timers.after(now, PERIOD_MS, self._period)
        self.attempts.hold_timers.begin_period(now, now + PERIOD_MS, self.open.values())
        self.index.begin_period(now)
        since = max(self.tiers.overload_at, self.host_choice.evidence_since)
        self.tiers.end_period(now, self.host_choice.open_attempts(), self.attempts.overdue(now, since))
        if self.rng.random() < FORGET_SHARE:
            self.meter.forget_idle(now)
