"""Random event sequences, checked against the five rules by events and actions alone.

The rules stand at the head of rainturn/interface.py.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from rainturn import interface as it
from rainturn.decisions import Gateway
from rainturn.saved_state import restore_state, save_state
from tests.helpers import LIMITS, GatewayDriver, of_type, settings

NEVER_RAN = (it.Outcome.FULL, it.Outcome.UNREACHABLE, it.Outcome.NOT_SENT)
CEILING_PLAN = it.Plan(price=1, rate=50, burst=50, ceiling_rate=5, ceiling_burst=10, ceiling_slack=1)


@dataclass
class OpenRequest:
    """An open request, as events and actions show it."""

    arrived: it.Arrived
    sends: list[tuple[int, float]] = field(default_factory=list)
    state: dict[int, str] = field(default_factory=dict)  # by attempt: out (open), maybe (ran) or unrun


class RuleChecker:
    """Feeds events to a gateway and checks each of its actions; times are in ms."""

    def __init__(self, config: it.Settings) -> None:
        self.config, self.now = config, 50_000.0
        self.gate = Gateway(config, 3)
        self.open: dict[int, OpenRequest] = {}
        self.out: list[tuple[int, int]] = []
        self.calls: list[it.Count] = []
        self.hosts: dict[int, it.HostEntry] = {}
        self.cold_sends: dict[int, list[float]] = {}
        self.first_sends: list[float] = []
        self.serial = 0

    def feed(self, event: it.Event) -> None:
        for action in self.gate.handle(self.now, event):
            self.check(action)

    def check(self, action: it.Action) -> None:
        if isinstance(action, it.Send):
            self.check_send(action)
        elif isinstance(action, it.Count):
            self.calls.append(action)
        elif isinstance(action, it.Refuse | it.Fail):
            req = self.open.pop(action.request)  # a KeyError means a second answer: rule 1
            request_class = self.config.classes[req.arrived.request_class]
            ran = [n for n, s in req.state.items() if s != "unrun"]
            if isinstance(action, it.Refuse) and request_class.effect is not it.Effect.SAFE:
                assert not ran, "rule 2: refused though it may have run"

    def check_send(self, action: it.Send) -> None:
        req = self.open[action.request]  # a KeyError means a send after the final answer: rule 1
        entry = self.hosts[action.host]
        assert entry.state is it.HostState.READY, "rule 3"
        request_class = self.config.classes[req.arrived.request_class]
        if not self.config.limits.may_duplicate:
            assert "out" not in req.state.values(), "two attempts at once"
        ran = [n for n, s in sorted(req.state.items()) if s != "unrun"]
        if ran and request_class.effect is it.Effect.UNSAFE:
            raise AssertionError("rule 2: an unsafe request went out again")
        if ran and request_class.effect is it.Effect.KEYED:
            host, at = req.sends[ran[0]]
            assert self.hosts[host].zone == entry.zone and self.now <= at + request_class.window_ms, "rule 2"
        if not req.sends:
            self.first_sends.append(self.now)
        if entry.started and self.now - entry.started < self.config.rules.warm_ms:
            self.cold_sends.setdefault(entry.host, []).append(self.now)
        req.state[len(req.sends)] = "out"
        self.out.append((action.request, len(req.sends)))
        req.sends.append((action.host, self.now))

    def step(self, kind: int, pick: int) -> None:
        if kind <= 3:
            self.serial += 1
            event = it.Arrived(self.serial, self.now + 1000 + 40 * pick, pick % 5, 0, pick % 3, 1.0, 2.0)
            self.open[self.serial] = OpenRequest(event)
            self.feed(event)
        elif kind <= 6 and self.out:
            self.finish(self.out.pop(pick % len(self.out)), list(it.Outcome)[pick % len(it.Outcome)])
        elif kind == 7 and self.calls:
            call = self.calls.pop(0)
            self.feed(it.CountAnswered(call.name, list(it.Outcome)[pick % 5], float(pick % 40), 3.0))
        elif kind == 8:
            host, state = pick % 6 + 1, list(it.HostState)[pick % 3]
            started = self.now if pick % 4 == 0 else self.hosts[host].started if host in self.hosts else 0.0
            self.hosts[host] = it.HostEntry(host, host % 2, 0, state, 1.0, started)
            self.feed(it.HostList(it.ListKind.DELTA, (self.hosts[host],)))
        else:
            self.pass_time(20.0 * (1 + pick % 10))

    def finish(self, attempt: tuple[int, int], outcome: it.Outcome) -> None:
        number, n = attempt
        req = self.open.get(number)
        host = req.sends[n][0] if req else 1
        if req:
            req.state[n] = "unrun" if outcome in NEVER_RAN else "maybe"
        final = req is None or outcome is it.Outcome.OK
        if final and req:
            del self.open[number]
        self.feed(it.AttemptEnded(number, n, host, outcome, 50.0, final))

    def pass_time(self, span: float) -> None:
        stop = self.now + span
        while self.now < stop:
            self.now += 20.0
            for number, req in list(self.open.items()):
                if self.now >= req.arrived.deadline:
                    for n in [n for n, s in req.state.items() if s == "out"]:
                        self.out.remove((number, n))
                        if number in self.open:
                            self.finish((number, n), it.Outcome.TIMEOUT)
                    assert number not in self.open, "rule 1: no answer by the deadline"
            self.feed(it.TimerFired(0))

    def check_ceiling(self, plan: it.Plan, customers: int) -> None:
        """Check rule 5: in every interval, at most this gateway's half of all customers' ceilings is sent."""
        for i, start in enumerate(self.first_sends):
            for j in range(i, len(self.first_sends)):
                most = customers * ((plan.ceiling_burst + plan.ceiling_slack) / 2 + 1)
                filled = customers * plan.ceiling_rate / 2000 * (self.first_sends[j] - start)
                assert j - i + 1 <= most + filled, "rule 5"


STEPS = st.lists(st.tuples(st.integers(0, 10), st.integers(0, 100)), max_size=120)
QUICK = profile(
    max_examples=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)


def play(config: it.Settings, steps: list[tuple[int, int]]) -> RuleChecker:
    checker = RuleChecker(config)
    for host in range(1, 5):
        checker.hosts[host] = it.HostEntry(host, host % 2, 0, it.HostState.READY)
    checker.feed(it.HostList(it.ListKind.CACHED, tuple(checker.hosts.values())))
    for kind, pick in steps:
        checker.step(kind, pick)
    checker.pass_time(6000.0)
    assert not checker.open, "rule 1"
    return checker


@QUICK
@given(STEPS)
def test_rules_one_to_three_with_duplicate_attempts(steps: list[tuple[int, int]]) -> None:
    play(settings(), steps)


@QUICK
@given(STEPS)
def test_rules_one_to_three_with_one_attempt_at_a_time(steps: list[tuple[int, int]]) -> None:
    play(settings(limits=replace(LIMITS, may_duplicate=False), counter=False), steps)


@QUICK
@given(STEPS)
def test_rule_five_holds_for_all_customers_together(steps: list[tuple[int, int]]) -> None:
    play(settings(plans=(CEILING_PLAN,)), steps).check_ceiling(CEILING_PLAN, 5)


def test_rule_four_limits_a_cold_host_for_hundreds_of_gateways_together() -> None:
    """A cold host gets at most its current part of an even share, however many gateways there are.

    Guards against each gateway sending one request, and against held requests that draw at every check.
    """
    cold = 0
    count = 300
    for seed in range(count):
        gate = Gateway(settings(gateways=count, plans=(), counter=False), seed)
        now = 50_000.0
        entries = tuple(it.HostEntry(n, 0, 0, it.HostState.READY, 1.0, now * (n == 1)) for n in range(1, 51))
        gate.handle(now, it.HostList(it.ListKind.CACHED, entries))
        for n in range(4):
            for action in gate.handle(now + n, it.Arrived(n, now + 5000.0, 1, 0, 0)):
                cold += isinstance(action, it.Send) and action.host == 1
    fair = count * 4 / 50 * settings().rules.cold_share
    assert 0 < cold < 0.8 * settings().rules.fall_multiple * fair


def test_rule_four_a_cold_fleet_is_not_flooded_by_held_requests() -> None:
    """All hosts are cold and requests are held: each draws once, however often a host is looked for."""
    gate = Gateway(settings(plans=(), counter=False), 5)
    now = 50_000.0
    entries = tuple(it.HostEntry(n, 0, 0, it.HostState.READY, 1.0, now) for n in range(1, 11))
    gate.handle(now, it.HostList(it.ListKind.CACHED, entries))
    sent = 0
    for n in range(200):
        sent += sum(isinstance(a, it.Send) for a in gate.handle(now, it.Arrived(n, now + 5000.0, 1, 0, 0)))
    for _ in range(40):
        now += 20.0
        sent += sum(isinstance(a, it.Send) for a in gate.handle(now, it.TimerFired(0)))
    assert sent < 200 * 0.4


@pytest.mark.parametrize("gateways", [3, 24, 200])
@pytest.mark.parametrize("sizes", [(1.0,), (1.0, 0.25)])
def test_rule_four_holds_for_unequal_gateways_together(gateways: int, sizes: tuple[float, ...]) -> None:
    """A cold host gets no more than its budget, with a margin for chance, in any span of `fall_ms`.

    The traffic is unequal and uses all capacity, a third of the hosts start one after another, attempts fail
    and are repeated, and gateways restart.
    """
    rng, hosts, now, serial = random.Random(7), 12, 1_000_000.0, 0
    config = settings(gateways=gateways, plans=(), counter=False, sizes_told=True)
    rules = config.rules
    rate = 20.0 / 1000  # capacity of a warm host of size 1, requests per ms
    size = {n: sizes[n % len(sizes)] for n in range(hosts)}
    started_at = {n: now + 700.0 * n if n % 3 == 0 else 0.0 for n in range(hosts)}
    traffic = [rng.expovariate(1.0) for _ in range(gateways)]
    gates: dict[int, Gateway] = {}
    sent: dict[int, list[float]] = {n: [] for n in started_at if started_at[n]}
    repeats = 0

    def handle_actions(gate: Gateway, actions: list[it.Action]) -> None:
        nonlocal repeats
        for send in [a for a in actions if isinstance(a, it.Send)]:
            if send.host - 1 in sent:
                sent[send.host - 1].append(now)
            failed = rng.random() < 0.2
            repeats += failed
            handle_actions(
                gate,
                gate.handle(
                    now,
                    it.AttemptEnded(
                        send.request,
                        len(gate.open[send.request].attempts) - 1,
                        send.host,
                        it.Outcome.ERROR if failed else it.Outcome.OK,
                        50.0,
                        not failed,
                    ),
                ),
            )

    def host_list() -> it.HostList:
        return it.HostList(
            it.ListKind.FULL,
            tuple(
                it.HostEntry(n + 1, 0, 0, it.HostState.READY, size[n], started_at[n])
                for n in range(hosts)
                if started_at[n] <= now
            ),
        )

    stop = now + 700.0 * hosts + rules.warm_ms
    while now < stop:
        now += rng.expovariate(rate * sum(size.values()))
        for n in sent:
            if now - 20.0 < started_at[n] <= now:
                for gate in gates.values():
                    gate.handle(now, host_list())
        number = rng.choices(range(gateways), traffic)[0]
        if number not in gates or rng.random() < 0.001:
            gates[number] = Gateway(config, serial)
            gates[number].handle(now, host_list())
        serial += 1
        handle_actions(gates[number], gates[number].handle(now, it.TimerFired(0)))
        handle_actions(
            gates[number], gates[number].handle(now, it.Arrived(serial, now + 5000.0, serial, 0, 0))
        )
    assert repeats > 100
    for n, times in sent.items():
        assert times
        for i, at in enumerate(times):
            if at + rules.fall_ms > started_at[n] + rules.warm_ms:
                break  # the host is warm by then
            warmth = rules.cold_share + (1 - rules.cold_share) * (at - started_at[n]) / rules.warm_ms
            budget = rules.fall_multiple * warmth * rate * size[n] * rules.fall_ms
            here = sum(at <= later < at + rules.fall_ms for later in times[i:])
            assert here <= budget + 2 * budget**0.5 + 2, (n, at - started_at[n], here, budget)


def test_rule_five_holds_however_often_a_gateway_restarts() -> None:
    """The ceiling bucket is the customer's: its level outlives a process, and a new one doesn't know it."""
    plan = it.Plan(price=1, rate=50, burst=50, ceiling_rate=4, ceiling_burst=8, ceiling_slack=1)
    config = settings(plans=(plan,), counter=False, gateways=1)
    level, filled_at, now = plan.ceiling_burst, 100_000.0, 100_000.0

    def send_burst(driver: GatewayDriver, requests: int) -> None:
        """Send requests at once; each one that is sent on takes a unit from the bucket."""
        nonlocal level, filled_at
        level = min(plan.ceiling_burst, level + plan.ceiling_rate * (driver.now - filled_at) / 1000)
        filled_at = driver.now
        for _ in range(requests):
            level -= len(of_type(driver.start_request(spread=1.0)[1], it.Send))
        assert level >= -plan.ceiling_slack

    driver = GatewayDriver(config, now=now)
    send_burst(driver, 1)
    driver.advance_clock(10_000)  # the gateway's share of the bucket refills
    send_burst(driver, 20)
    for _ in range(5):
        driver = GatewayDriver(config, now=driver.now + 50.0)
        send_burst(driver, 20)
    driver.advance_clock(2000)
    send_burst(driver, 20)


@pytest.mark.parametrize("has_restored_state", [False, True])
def test_rule_five_holds_while_two_processes_of_a_gateway_serve(has_restored_state: bool) -> None:
    """Guards against two processes that each refill the gateway's share of a ceiling during a handover."""
    plan = it.Plan(price=1, rate=50, burst=50, ceiling_rate=4, ceiling_burst=8, ceiling_slack=1)
    config = settings(plans=(plan,), counter=False, gateways=1)
    old, new = GatewayDriver(config), GatewayDriver(config)
    level, filled_at = plan.ceiling_burst, old.now

    def press(duration_ms: float, *drivers: GatewayDriver) -> list[int]:
        """Send requests to each process every 100 ms; return how many each of them sent on."""
        nonlocal level, filled_at
        sent = [0] * len(drivers)
        for _ in range(round(duration_ms / 100)):
            for number, driver in enumerate(drivers):
                actions = driver.advance_clock(100)
                for _ in range(4):
                    actions += driver.start_request(spread=1.0)[1]
                passed = 0
                while sends := of_type(actions, it.Send):
                    passed += len(sends)
                    actions = [action for send in sends for action in driver.end_attempt(send, it.Outcome.OK)]
                sent[number] += passed
                level = min(plan.ceiling_burst, level + plan.ceiling_rate * (driver.now - filled_at) / 1000)
                level, filled_at = level - passed, driver.now
                assert level >= -plan.ceiling_slack
        return sent

    old.advance_clock(10_000)  # its share of the bucket refills
    press(1000, old)
    new.now = old.now
    if has_restored_state:
        restore_state(new.gateway, new.now, json.loads(json.dumps(save_state(old.gateway))))
    old.handle(it.ProcessOverlap(True, is_older=True))
    new.handle(it.ProcessOverlap(True, is_older=False))
    by_old, by_new = press(3000, old, new)
    assert by_old and not by_new
    old.handle(it.ShuttingDown())
    new.handle(it.ProcessOverlap(False, is_older=False))
    (by_new,) = press(3000, new)
    assert by_new >= plan.ceiling_rate * 2


def test_process_whose_successor_has_ended_goes_on_using_the_ceiling() -> None:
    plan = it.Plan(price=1, rate=50, burst=50, ceiling_rate=4, ceiling_burst=8, ceiling_slack=1)
    driver = GatewayDriver(settings(plans=(plan,), counter=False, gateways=1))
    driver.advance_clock(10_000)
    for overlap in (True, False):
        driver.handle(it.ProcessOverlap(overlap, is_older=True))
        assert of_type(driver.start_request(spread=1.0)[1], it.Send)
