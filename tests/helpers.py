"""Settings, and a driver for a decision module, shared by the tests."""

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


def hosts(count: int, started: float = 0.0, state: it.HostState = it.HostState.READY) -> it.HostList:
    """Return a cached list of hosts 1 to `count`, which lie in two zones in turn."""
    return it.HostList(
        it.ListKind.CACHED, tuple(it.HostEntry(n + 1, n % 2, 0, state, 1.0, started) for n in range(count))
    )


class Drive:
    """Drives a gateway with a clock that tests set.

    `gate` is the gateway, `now` the time in ms, `done` the list of all its actions so far, and `serial` the
    number of the last request.
    """

    def __init__(self, config: it.Settings, fleet: int = 4, now: float = 100_000.0) -> None:
        self.gate, self.now = Gateway(config, 7), now
        self.done: list[it.Action] = []
        self.serial = 0
        self.feed(hosts(fleet))

    def feed(self, event: it.Event) -> list[it.Action]:
        """Let the gateway handle an event; return and record the actions."""
        actions = self.gate.handle(self.now, event)
        self.done += actions
        return actions

    def arrive(
        self,
        kind: int = 0,
        customer: int = 1,
        plan: int = 0,
        spread: float = 2.0,
        time_limit_ms: float = 5000.0,
    ) -> tuple[int, list[it.Action]]:
        """Let a request of class `kind` arrive; return its number and the actions."""
        self.serial += 1
        event = it.Arrived(self.serial, self.now + time_limit_ms, customer, plan, kind, 1.0, spread)
        return self.serial, self.feed(event)

    def end(
        self, send: it.Send, outcome: it.Outcome, attempt: int = 0, elapsed: float = 100.0
    ) -> list[it.Action]:
        """End an attempt, by default the first of its request, and the request with it if `outcome` is OK."""
        return self.feed(
            it.AttemptEnded(send.request, attempt, send.host, outcome, elapsed, outcome is it.Outcome.OK)
        )

    def count(self, call: it.Count, total: float, outcome: it.Outcome = it.Outcome.OK) -> list[it.Action]:
        """Answer a counter call with the total of its count."""
        return self.feed(it.CountAnswered(call.name, outcome, total, 2.0))

    def run_for(self, span: float) -> list[it.Action]:
        """Advance the clock by `span` ms, with a timer event every 20 ms; return all actions of that time."""
        got: list[it.Action] = []
        stop = self.now + span
        while self.now < stop:
            self.now += 20.0
            got += self.feed(it.TimerFired(0))
        return got


def of(actions: list[it.Action], kind: type) -> list[Any]:
    """Return those of the actions that have the type `kind`."""
    return [action for action in actions if isinstance(action, kind)]
