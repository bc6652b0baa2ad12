"""The decision module's entry point: passes each event to the component that decides on it."""

import math
from collections.abc import Callable
from typing import Any

from rainturn import interface as it
from rainturn.component import Component, SharedState
from rainturn.counts import customer_key, is_slots_name
from rainturn.decisions.admission import PERIOD_MS, Tiers
from rainturn.decisions.attempts import RECHECK_MS, Attempts
from rainturn.decisions.hosts import HostSelector
from rainturn.decisions.metering import QuotaMeter
from rainturn.decisions.quota import CounterCalls
from rainturn.decisions.slots import Slots
from rainturn.interface import RefusalReason
from rainturn.records import PendingRequest

STALL_MS = 200.0  # a timer this late shows that the gateway itself stalled: what it measured is its own delay
IDLE_CHECK_PROBABILITY = 1 / 6  # chance of a check for idle customers in a period


class Gateway(Component):
    """One gateway: `handle` takes each event with its time and returns the actions to carry out."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        shared = SharedState(settings, seed)
        super().__init__(shared)
        self.tiers = Tiers(settings)
        self.host_selector = HostSelector(shared, self.tiers)
        self.calls = CounterCalls(shared)
        self.attempts = Attempts(shared, self.host_selector, self.calls)
        self.slots = Slots(shared, self.attempts, self.calls)
        self.meter = QuotaMeter(shared, self.attempts, self.slots, self.calls)
        self.index = self.host_selector.index
        self.open, self.hosts, self.customers = self.attempts.open, self.index.hosts, self.meter.customers
        self.has_started, self.in_service = False, True
        self.ready_after = -math.inf  # after a handover: not ready before, or before a fresh host list
        self._handlers: dict[type[it.Event], Callable[[float, Any], Any]] = {
            it.Arrived: self._on_arrived,
            it.BodyComplete: self.attempts.on_body_complete,
            it.StreamBegan: self.attempts.on_answer_began,
            it.AnswerBegan: self.attempts.on_answer_part,
            it.CommandTransfer: self.attempts.on_command_transfer,
            it.AttemptEnded: self._on_attempt_ended,
            it.RequestGone: self.attempts.on_client_left,
            it.CountAnswered: self._on_count_answered,
            it.TimerFired: lambda now, event: self.timers.run_due(now),
            it.HostList: self._on_host_list,
            it.InService: self._on_in_service,
            it.ProcessOverlap: self._on_process_overlap,
            it.ShuttingDown: self._on_shutting_down,
        }

    def handle(self, now: float, event: it.Event) -> list[it.Action]:
        """Handle one event and return the resulting actions."""
        self.actions.clear()
        if not self.has_started:
            self._start(now)
        if now > self.timers.armed_for + STALL_MS:
            # A stall of this gateway must not look like slow or dead hosts or a slow counter: what was sent
            # before now is no evidence. The cost is that a real outage at the same moment is noticed later.
            self.host_selector.evidence_since = self.timers.armed_for = now
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        return self.actions.copy()

    def limit_customers(self, count: int) -> None:
        """Remember at most `count` customers; requests of further ones may be refused."""
        self.meter.max_customers = count

    def is_ready(self, now: float) -> bool:
        """Return whether clients should connect: in service, past `ready_after`, with a host to send to."""
        return self.in_service and now >= self.ready_after and self.index.has_ready_host()

    def listed_count(self) -> int:
        """Return how many hosts the list holds."""
        return len(self.index.listed())

    def skipped_count(self) -> int:
        """Return how many listed hosts get no ordinary traffic because they drain or are suspect."""
        return self.host_selector.skipped_count()

    def _start(self, now: float) -> None:
        self.has_started, self.meter.ceiling_since = True, now
        ends = now + PERIOD_MS * (0.5 + self.rng.random())  # so that gateways' periods do not coincide
        self.attempts.hold_timers.period_ends = ends
        self.timers.after(now, ends - now, self._on_period)
        self._watch_list()

    def _watch_list(self) -> None:
        if self.settings.asks_for_list:
            self.actions.append(it.WatchList(True))

    def _on_arrived(self, now: float, event: it.Arrived) -> None:
        """Check a new request against the tiers, then the quota; refuse it at once if either denies it."""
        if not 0 <= event.request_class < len(self.settings.classes):
            return self.actions.append(it.Refuse(event.request, reason=RefusalReason.UNKNOWN_CLASS))
        request_class = self.settings.classes[event.request_class]
        request = PendingRequest(event, now, request_class, self.rng.random())
        self.open[request.id] = request
        if request.deadline <= now + 2 * RECHECK_MS:  # if held, it would end unanswered
            return self.attempts.refuse(now, request, RefusalReason.TOO_LITTLE_TIME)
        customer, price, pass_chance = None, 1.0, 1.0
        if 0 <= event.plan < len(self.settings.plans):
            customer = request.customer = self.meter.get_customer(now, event)
            if customer is None:
                return self.attempts.refuse(now, request, RefusalReason.CUSTOMERS_FULL)
            price, pass_chance = customer.plan.price, self.meter.pass_chance(customer, event.plan)
        tier = self.tiers.tier_of(request_class.worth * price)
        if not self.tiers.admit(tier, pass_chance):
            # The boundary tier has a new budget next period; when lower tiers are admitted is not known.
            left_ms = max(0.0, self.attempts.hold_timers.period_ends - now)
            backoff_ms = left_ms if tier == self.tiers.boundary else 0.0
            self.attempts.refuse(now, request, RefusalReason.TIER, backoff_ms)
        elif customer is None or not customer.plan.rate:
            self.slots.start(now, request)
        else:
            self.meter.check_quota(now, request, customer)

    def _on_attempt_ended(self, now: float, event: it.AttemptEnded) -> None:
        customer = self.attempts.on_attempt_ended(now, event)
        if customer is not None:
            self.slots.serve(now, customer)

    def _on_count_answered(self, now: float, event: it.CountAnswered) -> None:
        if now - event.elapsed >= self.host_selector.evidence_since:
            self.calls.record_answer(event)
        customer = self.customers.get(customer_key(event.name))
        if customer is not None:
            component = self.slots if is_slots_name(event.name) else self.meter
            component.handle_answer(now, event, customer)

    def _on_host_list(self, now: float, event: it.HostList) -> None:
        """Apply the host list; draining and gone hosts get nothing from here on, not even repeats."""
        if event.kind is it.ListKind.FAILED:
            return self._watch_list()
        if event.kind is not it.ListKind.CACHED:
            self.ready_after = -math.inf
        self.index.update(now, event)
        self.attempts.retry_queued(now)

    def _on_in_service(self, now: float, event: it.InService) -> None:
        self.in_service = event.on

    def _on_process_overlap(self, now: float, event: it.ProcessOverlap) -> None:
        """Share the slots with the other process; the older one uses the ceilings until it ends (rule 5)."""
        self.slots.processes_overlap = event.on
        if not event.is_older and event.on != self.attempts.has_predecessor:
            self.attempts.has_predecessor = event.on
            self.meter.take_over_ceilings(now)

    def _on_shutting_down(self, now: float, event: it.ShuttingDown) -> None:
        for customer in self.customers.values():
            if self.settings.counter and abs(customer.unreported) >= 0.5:
                self.calls.call(now, customer)  # otherwise the counter never receives these units

    def _on_period(self, now: float) -> None:
        """End an admission period, and update what changes with age."""
        self.timers.after(now, PERIOD_MS, self._on_period)
        self.attempts.hold_timers.begin_period(now, now + PERIOD_MS, self.open.values())
        self.index.begin_period(now)
        since = max(self.tiers.overload_at, self.host_selector.evidence_since)
        self.tiers.end_period(
            now, self.host_selector.open_attempts(), self.attempts.overdue_count(now, since)
        )
        if self.rng.random() < IDLE_CHECK_PROBABILITY:
            self.meter.forget_idle(now)
