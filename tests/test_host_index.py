"""The host index against a simple model that sorts all hosts on each use, and the cost of its operations."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from rainturn import host_index
from rainturn import interface as it
from rainturn.decisions import Gateway
from rainturn.host_index import HostIndex, ring_position
from rainturn.records import Host
from tests.helpers import RULES, settings

READY, DRAINING, GONE = it.HostState.READY, it.HostState.DRAINING, it.HostState.GONE
START = 1_000_000.0
STEP = 0.01  # distance of the positions at which the cold intervals are sampled
CONFIG = settings(sizes_told=True, plans=(), counter=False, rules=replace(RULES, warm_ms=1000.0))


@dataclass
class ModelHost:
    """A host in the model."""

    entry: it.HostEntry
    started: float
    listed: float = 0.0
    warmup_state: str = "out"  # or cold or warm, as last classified
    is_busy: bool = False


class ModelIndex:
    """The simplest form of the index: a dict of hosts that are sorted on each use."""

    def __init__(self, config: it.Settings) -> None:
        self.config = config
        self.hosts: dict[int, ModelHost] = {}
        self.first_list_ends, self.newest_start = math.inf, -math.inf
        self.starts: dict[tuple[int, float], float] = {}
        self.fleet_size, self.mean_size = 1.0, 0.0

    def warmth(self, now: float, started: float) -> float:
        rules = self.config.rules
        age = now - started if started > 0 else math.inf
        return (
            1.0 if age >= rules.warm_ms else rules.cold_share + (1 - rules.cold_share) * age / rules.warm_ms
        )

    def share(self, now: float, host: ModelHost) -> float:
        part = min(1.0, host.entry.size / self.mean_size) if self.mean_size else 1.0
        return self.config.rules.fall_multiple / 3 * self.warmth(now, host.started) * part

    def start(self, now: float, entry: it.HostEntry) -> float:
        key = (entry.sort_key or entry.host, entry.started)  # a start that is reported again keeps its time
        return self.starts.setdefault(key, self.estimate(now, entry.started))

    def estimate(self, now: float, listed: float) -> float:
        if now >= self.first_list_ends:
            return listed if now - 3000 <= listed <= now else now
        return min(
            now,
            listed + (now - self.newest_start if now - self.newest_start > self.config.rules.warm_ms else 0),
        )

    def update(self, now: float, event: it.HostList) -> None:
        if self.first_list_ends == math.inf and event.kind is not it.ListKind.CACHED:
            self.first_list_ends = now + 1000
        if now < self.first_list_ends:
            self.newest_start = max(
                [self.newest_start, *(entry.started for entry in event.entries if entry.started)]
            )
        if event.kind is not it.ListKind.DELTA:
            named = {entry.host for entry in event.entries}
            for number in [number for number in self.hosts if number not in named]:
                self.change(now, self.hosts[number].entry._replace(state=GONE))
        for entry in event.entries:
            self.change(now, entry)
        gone = [n for n, host in self.hosts.items() if host.entry.state is GONE and not host.is_busy]
        for number in gone:
            del self.hosts[number]
        ready = [host for host in self.hosts.values() if host.warmup_state != "out"]
        self.fleet_size = max(self.fleet_size, len(ready))
        if ready:
            self.mean_size = sum(host.entry.size for host in ready) / len(ready)

    def change(self, now: float, entry: it.HostEntry) -> None:
        host = self.hosts.get(entry.host)
        if host is None:
            if entry.state is GONE:
                return
            host = self.hosts[entry.host] = ModelHost(entry, 0.0)
        same = entry._replace(started=0.0, sort_key=0) == host.entry._replace(started=0.0, sort_key=0)
        restart = entry.started not in (0.0, host.listed)
        if not same or restart or host.warmup_state == "out":
            host.entry = entry._replace(sort_key=host.entry.sort_key)
            if restart:
                host.listed, host.started = entry.started, max(host.started, self.start(now, entry))
            host.warmup_state = self.classify(now, host)

    def classify(self, now: float, host: ModelHost) -> str:
        if host.entry.state is not READY:
            return "out"
        return "cold" if self.warmth(now, host.started) < 1.0 else "warm"

    def period(self, now: float) -> None:
        for host in self.hosts.values():
            if host.warmup_state == "cold":
                host.warmup_state = self.classify(now, host)
        ready = sum(host.warmup_state != "out" for host in self.hosts.values())
        self.fleet_size = max(1.0, 0.99 * self.fleet_size, ready)

    def warm(self) -> list[int]:
        listed = [host for host in self.hosts.values() if host.entry.state is not GONE]
        listed.sort(key=lambda host: (host.entry.sort_key, host.entry.host))
        first = ring_position(self.config) * len(listed) // self.config.gateways
        return [host.entry.host for host in listed[first:] + listed[:first] if host.warmup_state == "warm"]


def check(index: HostIndex, model: ModelIndex, now: float, exact: bool) -> None:
    """Compare the warm order and its start; a cold host may get no more than its present share."""
    count = len(index.warm)
    assert [index.warm[(index.start + n) % count].id for n in range(count)] == model.warm()
    assert index.hosts.keys() == model.hosts.keys()
    assert [h.id for h in index.listed()] == sorted(
        (n for n, model_host in model.hosts.items() if model_host.entry.state is not GONE),
        key=lambda n: (model.hosts[n].entry.sort_key, n),
    )
    assert abs(index.fleet_size - model.fleet_size) < 1e-9 and abs(index.mean_size - model.mean_size) < 1e-9
    assert index.has_ready_host() is any(
        model_host.warmup_state != "out" for model_host in model.hosts.values()
    )
    drawn = dict.fromkeys(model.hosts, 0)
    for step in range(int((max(index.cold.ends, default=0.0) + 1) / STEP)):
        host = index.cold.host_at((step + 0.5) * STEP, index.mean_size)
        if host is not None:
            drawn[host.id] += 1
    for number, model_host in model.hosts.items():
        share = model.share(now, model_host) if model_host.warmup_state == "cold" else 0.0
        assert drawn[number] * STEP <= share + STEP * (share > 0)
        if exact:
            assert drawn[number] * STEP >= share - STEP


STATES = st.sampled_from([READY, READY, READY, DRAINING, GONE])
ENTRIES = st.builds(
    lambda number, state, size, age: (number, state, size, age),
    st.integers(1, 12),
    STATES,
    st.sampled_from([0.25, 1.0, 1.0, 4.0]),
    st.sampled_from([None, None, None, 0.0, 300.0, 5000.0]),
)
CHANGES = st.lists(
    st.one_of(
        st.tuples(st.just("delta"), st.lists(ENTRIES, max_size=4)),
        st.tuples(st.just("full"), st.lists(ENTRIES, max_size=12)),
        st.tuples(st.just("period"), st.just([])),
        st.tuples(st.just("restart"), st.lists(ENTRIES, min_size=1, max_size=1)),
        st.tuples(st.just("busy"), st.lists(ENTRIES, min_size=1, max_size=1)),
    ),
    max_size=25,
)


@profile(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.sampled_from([(0, 1), (2, 3), (31, 48), (1299, 1300)]), CHANGES)
def test_any_order_of_changes_gives_the_same_index_as_sorting_all_hosts_again(
    gateway: tuple[int, int], changes: list[tuple[str, list[tuple[int, it.HostState, float, float | None]]]]
) -> None:
    config = replace(CONFIG, gateway=gateway[0], gateways=gateway[1])
    gate, model, now = Gateway(config, 1), ModelIndex(config), START
    index = gate.index
    for kind, drawn_entries in changes:
        now += 170.0
        entries = tuple(
            it.HostEntry(
                number, number % 3, 0, state, size, 0.0 if age is None else now - age, number * 7919 % 13
            )
            for number, state, size, age in drawn_entries
        )
        if kind == "period":
            index.begin_period(now)
            model.period(now)
        elif kind == "restart":
            number = entries[0].host
            if number in index.hosts:
                index.mark_restarted(now, index.hosts[number])
                model_host = model.hosts[number]
                model_host.started, model_host.warmup_state = (
                    now,
                    model.classify(now, replace(model_host, started=now)),
                )
                model.update(now, it.HostList(it.ListKind.DELTA))
        elif kind == "busy":
            number = entries[0].host
            if number in index.hosts:
                index.hosts[number].open_attempts = 1
                model.hosts[number].is_busy = True
        else:
            event = it.HostList(it.ListKind(kind), entries)
            index.update(now, event)
            model.update(now, event)
        check(index, model, now, exact=kind == "period")


class CostCounter:
    """Counts how often hosts are compared and visited."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.comparisons = self.visits = 0
        key, slowness = host_index.ring_key, Host.slowness

        def counted_key(host: Host) -> tuple[int, int]:
            self.comparisons += 1
            return key(host)

        def counted_slowness(host: Host, now: float) -> float:
            self.visits += 1
            return slowness(host, now)

        monkeypatch.setattr(host_index, "ring_key", counted_key)
        monkeypatch.setattr(Host, "slowness", counted_slowness)

    def watch(self, index: HostIndex) -> None:
        """Count the visits of an index to its hosts, from 0 on."""
        warmth, share = index.warmth, index.cold_share

        def counted_warmth(now: float, host: Host) -> float:
            self.visits += 1
            return warmth(now, host)

        def counted_share(host: Host, warmth: float, mean_size: float) -> float:
            self.visits += 1
            return share(host, warmth, mean_size)

        index.warmth, index.cold_share = counted_warmth, counted_share
        self.read_and_reset()

    def read_and_reset(self) -> tuple[int, int]:
        """Return the comparisons and visits counted since the last call."""
        counted, self.comparisons, self.visits = (self.comparisons, self.visits), 0, 0
        return counted


def _fleet(gateways: int, hosts: int) -> tuple[Gateway, it.HostList]:
    gate = Gateway(replace(CONFIG, gateway=gateways // 2, gateways=gateways), 1)
    listed = it.HostList(it.ListKind.FULL, tuple(_entry(number) for number in range(1, hosts + 1)))
    gate.handle(START, listed)
    return gate, listed


def _entry(number: int, state: it.HostState = READY, started: float = 0.0) -> it.HostEntry:
    return it.HostEntry(number, number % 12, 0, state, 1.0, started)


@pytest.mark.parametrize("gateways", [3, 48, 1300])
@pytest.mark.parametrize("hosts", [200, 2000, 17_000])
def test_the_cost_of_a_change_a_request_and_a_period_hardly_grows_with_the_number_of_hosts(
    gateways: int, hosts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    costs = CostCounter(monkeypatch)
    gate, listed = _fleet(gateways, hosts)
    costs.watch(gate.index)
    for state in (DRAINING, READY, GONE, READY):
        gate.handle(START + 1.0, it.HostList(it.ListKind.DELTA, (_entry(hosts // 3, state),)))
        comparisons, visits = costs.read_and_reset()
        assert comparisons <= 4 * (math.log2(hosts) + 2) and visits <= 1
    gate.handle(START + 2.0, it.HostList(it.ListKind.DELTA, (_entry(7, started=START + 2.0),)))
    comparisons, visits = costs.read_and_reset()
    assert comparisons <= 4 * (math.log2(hosts) + 2) and visits <= 3
    gate.index.begin_period(START + 3.0)
    comparisons, visits = costs.read_and_reset()
    assert comparisons <= math.log2(hosts) + 2 and visits <= 2  # one host is cold
    gate.handle(START + 4.0, it.Arrived(1, START + 5000.0, 1, 0, 0))
    comparisons, visits = costs.read_and_reset()
    assert comparisons == 0 and visits <= 24
    gate.handle(START + 5.0, listed)  # nothing has changed
    comparisons, visits = costs.read_and_reset()
    assert comparisons <= math.log2(hosts) + 2 and visits == 0


@pytest.mark.parametrize("as_one_list", [True, False])
def test_the_return_of_a_zone_costs_few_comparisons_per_host_and_requests_visit_no_cold_host(
    as_one_list: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One of twelve zones of a fleet of 17,000 hosts disappears and comes back cold."""
    costs, hosts = CostCounter(monkeypatch), 17_000
    gate, _ = _fleet(1300, hosts)
    zone = [number for number in range(1, hosts + 1) if number % 12 == 5]
    lost = it.HostList(it.ListKind.DELTA, tuple(_entry(number, GONE) for number in zone))
    gate.handle(START + 1.0, lost)
    costs.watch(gate.index)
    back = [_entry(number, started=START + 2.0) for number in zone]
    for entries in [tuple(back)] if as_one_list else [(entry,) for entry in back]:
        gate.handle(START + 2.0, it.HostList(it.ListKind.DELTA, entries))
    comparisons, visits = costs.read_and_reset()
    assert len(gate.index.cold) == len(zone) and len(gate.index.warm) == hosts - len(zone)
    most = hosts * 2 if as_one_list else len(zone) * 2 * (math.log2(hosts) + 2)
    assert comparisons <= most and visits <= 3 * len(zone)
    for number in range(200):
        gate.handle(START + 3.0, it.Arrived(number, START + 5000.0, 1, 0, 0))
    comparisons, visits = costs.read_and_reset()
    assert comparisons == 0 and visits <= 24 * 200


def test_a_period_visits_no_more_hosts_than_were_used(monkeypatch: pytest.MonkeyPatch) -> None:
    gate, _ = _fleet(1300, 17_000)
    for number in range(40):
        gate.handle(START + 1.0, it.Arrived(number, START + 5000.0, 1, 0, 0))
    assert 0 < len(gate.index.loaded()) <= 40 and gate.host_selector.open_attempts() == 40


def test_an_upload_to_a_host_that_was_removed_meanwhile_does_not_count_as_load() -> None:
    """The host leaves the list before the last byte arrives; nothing would ever remove such load again."""
    gate = Gateway(CONFIG, 1)
    gate.handle(START, it.HostList(it.ListKind.FULL, (_entry(1), _entry(2))))
    arrived = it.Arrived(1, START + 5000.0, 1, 0, 0, is_complete=False)
    (send,) = [a for a in gate.handle(START, arrived) if isinstance(a, it.Send)]
    gate.handle(START, it.HostList(it.ListKind.DELTA, (_entry(send.host, GONE),)))
    assert send.host not in gate.hosts
    gate.handle(
        START, it.HostList(it.ListKind.DELTA, (_entry(send.host),))
    )  # another host under the same number
    gate.handle(START, it.BodyComplete(1, START + 5000.0))
    assert gate.host_selector.open_attempts() == 0


def test_load_begins_with_the_last_byte_of_an_upload() -> None:
    gate = Gateway(CONFIG, 1)
    gate.handle(START, it.HostList(it.ListKind.FULL, (_entry(1),)))
    gate.handle(START, it.Arrived(1, START + 5000.0, 1, 0, 0, is_complete=False))
    assert gate.host_selector.open_attempts() == 0 and not gate.index.used
    gate.handle(START + 10.0, it.BodyComplete(1, START + 5000.0))
    assert gate.host_selector.open_attempts() == 1
    gate.handle(START + 20.0, it.AttemptEnded(1, 0, 1, it.Outcome.OK, 10.0, True))
    assert gate.host_selector.open_attempts() == 0 and not gate.index.used


def test_a_small_cold_host_in_the_first_list_gets_no_more_than_its_share() -> None:
    """Its share depends on the mean size, which is known only once the whole list has been read."""
    gate = Gateway(CONFIG, 1)
    small = it.HostEntry(1, 0, 0, READY, 0.25, START)
    large = [it.HostEntry(number, 0, 0, READY, 4.0) for number in range(2, 12)]
    gate.handle(START, it.HostList(it.ListKind.FULL, (small, *large)))
    mean = (0.25 + 40.0) / 11
    assert gate.index.cold.ends == [pytest.approx(RULES.fall_multiple / 3 * RULES.cold_share * 0.25 / mean)]
