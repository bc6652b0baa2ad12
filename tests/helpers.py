"""Settings, host lists and a driver for the decision module, shared by the tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from rainturn import interface as it
from rainturn.decisions import Gateway

SAFE = it.RequestClass(it.Effect.SAFE, aim_ms=1500, deadline_ms=6000, worth=1)
KEYED = replace(SAFE, effect=it.Effect.KEYED, group=it.Group.ZONE, window_ms=12_000, worth=5, late_worth=0.2)
UNSAFE = replace(SAFE, effect=it.Effect.UNSAFE, worth=2, late_worth=0.2)
PLAN = it.Plan(price=1, rate=2, burst=8)
RULES = it.Rules(
    answer_grace_ms=16, drain_grace_ms=500, fall_multiple=3, fall_ms=1000, cold_share=0.2, warm_ms=10_000
)
LIMITS = it.Limits(max_attempts=6, may_cancel=True, may_duplicate=True)


def settings(**changes: Any) -> it.Settings:
    """Return the settings of gateway 0 of two, with the given fields changed."""
    base: dict[str, Any] = {
        "gateway": 0,
        "gateways": 2,
        "zone": 0,
        "tick_ms": 4,
        "classes": (SAFE, KEYED, UNSAFE),
        "plans": (PLAN,),
        "rules": RULES,
        "limits": LIMITS,
        "counter": True,
    }
    return it.Settings(**(base | changes))


def hosts(count: int, started_ms: float = 0.0, state: it.HostState = it.HostState.READY) -> it.HostList:
    """Return a cached list of the hosts 1 to `count`, alternately in zone 0 and zone 1."""
    return it.HostList(
        it.ListKind.CACHED, tuple(it.HostEntry(n + 1, n % 2, 0, state, 1.0, started_ms) for n in range(count))
    )


class GatewayDriver:
    """Passes events to the decision module of one gateway, with a clock that the test sets.

    `gateway` is the decision module, `now` its time in ms, `actions` the list of all its actions so far, and
    `last_request` the number of the last request.
    """

    def __init__(self, config: it.Settings, host_count: int = 4, now: float = 100_000.0) -> None:
        self.gateway, self.now = Gateway(config, 7), now
        self.actions: list[it.Action] = []
        self.last_request = 0
        self.handle(hosts(host_count))

    def handle(self, event: it.Event) -> list[it.Action]:
        """Pass an event to the gateway; record and return its actions."""
        actions = self.gateway.handle(self.now, event)
        self.actions += actions
        return actions

    def start_request(
        self,
        request_class: int = 0,
        customer: int = 1,
        plan: int = 0,
        spread: float = 2.0,
        time_limit_ms: float = 5000.0,
    ) -> tuple[int, list[it.Action]]:
        """Pass the arrival of a new request to the gateway; return its number and the actions."""
        self.last_request += 1
        event = it.Arrived(
            self.last_request, self.now + time_limit_ms, customer, plan, request_class, 1.0, spread
        )
        return self.last_request, self.handle(event)

    def end_attempt(
        self, send: it.Send, outcome: it.Outcome, attempt: int = 0, elapsed_ms: float = 100.0
    ) -> list[it.Action]:
        """End an attempt, by default the first one of its request; the outcome OK also ends the request."""
        return self.handle(
            it.AttemptEnded(send.request, attempt, send.host, outcome, elapsed_ms, outcome is it.Outcome.OK)
        )

    def answer_count(
        self, call: it.Count, total: float, outcome: it.Outcome = it.Outcome.OK
    ) -> list[it.Action]:
        """Answer a call to the counter with the total of its count; return the actions."""
        return self.handle(it.CountAnswered(call.name, outcome, total, 2.0))

    def advance_clock(self, duration_ms: float) -> list[it.Action]:
        """Advance the clock by `duration_ms`, with a timer event every 20 ms; return the actions."""
        actions: list[it.Action] = []
        end = self.now + duration_ms
        while self.now < end:
            self.now += 20.0
            actions += self.handle(it.TimerFired(0))
        return actions


def of_type(actions: list[it.Action], action_type: type) -> list[Any]:
    """Return the actions of type `action_type`."""
    return [action for action in actions if isinstance(action, action_type)]
