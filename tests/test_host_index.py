"""The index of hosts against a plain model that sorts everything anew, and what its changes cost."""

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
STEP = 0.01  # of the positions that are drawn
CONFIG = settings(sizes_told=True, plans=(), counter=False, rules=replace(RULES, warm_ms=1000.0))


@dataclass
class Line:
    """A host as the model knows it."""

    entry: it.HostEntry
    started: float
    listed: float = 0.0
    standing: str = "out"  # or cold or warm, as last looked at
    busy: bool = False


class Plain:
    """The index as plainly as can be: a map, and everything sorted anew when asked."""

    def __init__(self, config: it.Settings) -> None:
        self.config = config
        self.lines: dict[int, Line] = {}
        self.news_from, self.newest = math.inf, -math.inf
        self.starts: dict[tuple[int, float], float] = {}
        self.fleet, self.mean_size = 1.0, 0.0

    def warmth(self, now: float, started: float) -> float:
        rules = self.config.rules
        age = now - started if started > 0 else math.inf
        return (
            1.0 if age >= rules.warm_ms else rules.cold_share + (1 - rules.cold_share) * age / rules.warm_ms
        )

    def share(self, now: float, line: Line) -> float:
        part = min(1.0, line.entry.size / self.mean_size) if self.mean_size else 1.0
        return self.config.rules.fall_multiple / 3 * self.warmth(now, line.started) * part

    def start(self, now: float, entry: it.HostEntry) -> float:
        key = (entry.sort_key or entry.host, entry.started)  # the same as it was, if it is told again
        return self.starts.setdefault(key, self.estimate(now, entry.started))

    def estimate(self, now: float, listed: float) -> float:
        if now >= self.news_from:
            return listed if now - 3000 <= listed <= now else now
        return min(now, listed + (now - self.newest if now - self.newest > self.config.rules.warm_ms else 0))

    def update(self, now: float, event: it.HostList) -> None:
        if self.news_from == math.inf and event.kind is not it.ListKind.CACHED:
            self.news_from = now + 1000
        if now < self.news_from:
            self.newest = max([self.newest, *(entry.started for entry in event.entries if entry.started)])
        if event.kind is not it.ListKind.DELTA:
            named = {entry.host for entry in event.entries}
            for number in [number for number in self.lines if number not in named]:
                self.change(now, self.lines[number].entry._replace(state=GONE))
        for entry in event.entries:
            self.change(now, entry)
        gone = [n for n, line in self.lines.items() if line.entry.state is GONE and not line.busy]
        for number in gone:
            del self.lines[number]
        ready = [line for line in self.lines.values() if line.standing != "out"]
        self.fleet = max(self.fleet, len(ready))
        if ready:
            self.mean_size = sum(line.entry.size for line in ready) / len(ready)

    def change(self, now: float, entry: it.HostEntry) -> None:
        line = self.lines.get(entry.host)
        if line is None:
            if entry.state is GONE:
                return
            line = self.lines[entry.host] = Line(entry, 0.0)
        same = entry._replace(started=0.0, sort_key=0) == line.entry._replace(started=0.0, sort_key=0)
        restart = entry.started not in (0.0, line.listed)
        if not same or restart or line.standing == "out":
            line.entry = entry._replace(sort_key=line.entry.sort_key)
            if restart:
                line.listed, line.started = entry.started, max(line.started, self.start(now, entry))
            line.standing = self.look(now, line)

    def look(self, now: float, line: Line) -> str:
        if line.entry.state is not READY:
            return "out"
        return "cold" if self.warmth(now, line.started) < 1.0 else "warm"

    def period(self, now: float) -> None:
        for line in self.lines.values():
            if line.standing == "cold":
                line.standing = self.look(now, line)
        ready = sum(line.standing != "out" for line in self.lines.values())
        self.fleet = max(1.0, 0.99 * self.fleet, ready)

    def warm(self) -> list[int]:
        listed = [line for line in self.lines.values() if line.entry.state is not GONE]
        listed.sort(key=lambda line: (line.entry.sort_key, line.entry.host))
        first = ring_position(self.config) * len(listed) // self.config.gateways
        return [line.entry.host for line in listed[first:] + listed[:first] if line.standing == "warm"]


def check(index: HostIndex, plain: Plain, now: float, exact: bool) -> None:
    """Same warm order from the same start, and no cold host gets more than its present share."""
    count = len(index.warm)
    assert [index.warm[(index.start + n) % count].id for n in range(count)] == plain.warm()
    assert index.hosts.keys() == plain.lines.keys()
    assert [h.id for h in index.listed()] == sorted(
        (n for n, line in plain.lines.items() if line.entry.state is not GONE),
        key=lambda n: (plain.lines[n].entry.sort_key, n),
    )
    assert abs(index.fleet - plain.fleet) < 1e-9 and abs(index.mean_size - plain.mean_size) < 1e-9
    assert index.any_ready() is any(line.standing != "out" for line in plain.lines.values())
    drawn = dict.fromkeys(plain.lines, 0)
    for step in range(int((max(index.cold.ends, default=0.0) + 1) / STEP)):
        host = index.cold.at((step + 0.5) * STEP, index.mean_size)
        if host is not None:
            drawn[host.id] += 1
    for number, line in plain.lines.items():
        share = plain.share(now, line) if line.standing == "cold" else 0.0
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
def test_any_order_of_changes_gives_what_sorting_everything_anew_gives(
    place: tuple[int, int], changes: list[tuple[str, list[tuple[int, it.HostState, float, float | None]]]]
) -> None:
    config = replace(CONFIG, gateway=place[0], gateways=place[1])
    gate, plain, now = Gateway(config, 1), Plain(config), START
    index = gate.index
    for kind, found in changes:
        now += 170.0
        entries = tuple(
            it.HostEntry(
                number, number % 3, 0, state, size, 0.0 if age is None else now - age, number * 7919 % 13
            )
            for number, state, size, age in found
        )
        if kind == "period":
            index.begin_period(now)
            plain.period(now)
        elif kind == "restart":
            number = entries[0].host
            if number in index.hosts:
                index.restarted(now, index.hosts[number])
                line = plain.lines[number]
                line.started, line.standing = now, plain.look(now, replace(line, started=now))
                plain.update(now, it.HostList(it.ListKind.DELTA))
        elif kind == "busy":
            number = entries[0].host
            if number in index.hosts:
                index.hosts[number].open_attempts = 1
                plain.lines[number].busy = True
        else:
            event = it.HostList(it.ListKind(kind), entries)
            index.update(now, event)
            plain.update(now, event)
        check(index, plain, now, exact=kind == "period")


class Costs:
    """Counts how often hosts are compared and looked at."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.keys = self.looks = 0
        key, slowness = host_index.ring_key, Host.slowness

        def counted_key(host: Host) -> tuple[int, int]:
            self.keys += 1
            return key(host)

        def counted_slowness(host: Host, now: float) -> float:
            self.looks += 1
            return slowness(host, now)

        monkeypatch.setattr(host_index, "ring_key", counted_key)
        monkeypatch.setattr(Host, "slowness", counted_slowness)

    def watch(self, index: HostIndex) -> None:
        """Count the looks of an index at its hosts, and take what was counted off."""
        warmth, share = index.warmth, index.cold_share

        def counted_warmth(now: float, host: Host) -> float:
            self.looks += 1
            return warmth(now, host)

        def counted_share(host: Host, warmth: float, mean_size: float) -> float:
            self.looks += 1
            return share(host, warmth, mean_size)

        index.warmth, index.cold_share = counted_warmth, counted_share
        self.take()

    def take(self) -> tuple[int, int]:
        """What was counted since the last time."""
        found, self.keys, self.looks = (self.keys, self.looks), 0, 0
        return found


def _fleet(gateways: int, hosts: int) -> tuple[Gateway, it.HostList]:
    gate = Gateway(replace(CONFIG, gateway=gateways // 2, gateways=gateways), 1)
    listed = it.HostList(it.ListKind.FULL, tuple(_entry(number) for number in range(1, hosts + 1)))
    gate.handle(START, listed)
    return gate, listed


def _entry(number: int, state: it.HostState = READY, started: float = 0.0) -> it.HostEntry:
    return it.HostEntry(number, number % 12, 0, state, 1.0, started)


@pytest.mark.parametrize("gateways", [3, 48, 1300])
@pytest.mark.parametrize("hosts", [200, 2000, 17_000])
def test_a_change_a_request_and_a_period_cost_no_more_with_more_hosts(
    gateways: int, hosts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    costs = Costs(monkeypatch)
    gate, listed = _fleet(gateways, hosts)
    costs.watch(gate.index)
    for state in (DRAINING, READY, GONE, READY):
        gate.handle(START + 1.0, it.HostList(it.ListKind.DELTA, (_entry(hosts // 3, state),)))
        keys, looks = costs.take()
        assert keys <= 4 * (math.log2(hosts) + 2) and looks <= 1
    gate.handle(START + 2.0, it.HostList(it.ListKind.DELTA, (_entry(7, started=START + 2.0),)))
    keys, looks = costs.take()
    assert keys <= 4 * (math.log2(hosts) + 2) and looks <= 3
    gate.index.begin_period(START + 3.0)
    keys, looks = costs.take()
    assert keys <= math.log2(hosts) + 2 and looks <= 2  # one host is cold
    gate.handle(START + 4.0, it.Arrived(1, START + 5000.0, 1, 0, 0))
    keys, looks = costs.take()
    assert keys == 0 and looks <= 24
    gate.handle(START + 5.0, listed)  # nothing new
    keys, looks = costs.take()
    assert keys <= math.log2(hosts) + 2 and looks == 0


@pytest.mark.parametrize("as_one_list", [True, False])
def test_a_zone_s_return_costs_a_few_comparisons_a_host_and_requests_look_at_no_cold_one(
    as_one_list: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """17,000 hosts: those of a zone of twelve have gone, and come back cold."""
    costs, hosts = Costs(monkeypatch), 17_000
    gate, _ = _fleet(1300, hosts)
    zone = [number for number in range(1, hosts + 1) if number % 12 == 5]
    lost = it.HostList(it.ListKind.DELTA, tuple(_entry(number, GONE) for number in zone))
    gate.handle(START + 1.0, lost)
    costs.watch(gate.index)
    back = [_entry(number, started=START + 2.0) for number in zone]
    for entries in [tuple(back)] if as_one_list else [(entry,) for entry in back]:
        gate.handle(START + 2.0, it.HostList(it.ListKind.DELTA, entries))
    keys, looks = costs.take()
    assert len(gate.index.cold) == len(zone) and len(gate.index.warm) == hosts - len(zone)
    most = hosts * 2 if as_one_list else len(zone) * 2 * (math.log2(hosts) + 2)
    assert keys <= most and looks <= 3 * len(zone)
    for number in range(200):
        gate.handle(START + 3.0, it.Arrived(number, START + 5000.0, 1, 0, 0))
    keys, looks = costs.take()
    assert keys == 0 and looks <= 24 * 200


def test_no_more_hosts_than_were_used_are_looked_at_in_a_period(monkeypatch: pytest.MonkeyPatch) -> None:
    gate, _ = _fleet(1300, 17_000)
    for number in range(40):
        gate.handle(START + 1.0, it.Arrived(number, START + 5000.0, 1, 0, 0))
    assert 0 < len(gate.index.loaded()) <= 40 and gate.host_choice.open_attempts() == 40


def test_an_upload_to_a_host_that_was_dropped_meanwhile_is_no_load_of_the_fleet() -> None:
    """Its host left the list before the last byte came: nothing would take that load off again."""
    gate = Gateway(CONFIG, 1)
    gate.handle(START, it.HostList(it.ListKind.FULL, (_entry(1), _entry(2))))
    arrived = it.Arrived(1, START + 5000.0, 1, 0, 0, is_complete=False)
    (send,) = [a for a in gate.handle(START, arrived) if isinstance(a, it.Send)]
    gate.handle(START, it.HostList(it.ListKind.DELTA, (_entry(send.host, GONE),)))
    assert send.host not in gate.hosts
    gate.handle(START, it.HostList(it.ListKind.DELTA, (_entry(send.host),)))  # another one under its number
    gate.handle(START, it.BodyComplete(1, START + 5000.0))
    assert gate.host_choice.open_attempts() == 0


def test_load_begins_with_the_last_byte_however_many_periods_the_upload_took() -> None:
    gate = Gateway(CONFIG, 1)
    gate.handle(START, it.HostList(it.ListKind.FULL, (_entry(1),)))
    gate.handle(START, it.Arrived(1, START + 5000.0, 1, 0, 0, is_complete=False))
    assert gate.host_choice.open_attempts() == 0 and not gate.index.used
    gate.handle(START + 10.0, it.BodyComplete(1, START + 5000.0))
    assert gate.host_choice.open_attempts() == 1
    gate.handle(START + 20.0, it.AttemptEnded(1, 0, 1, it.Outcome.OK, 10.0, True))
    assert gate.host_choice.open_attempts() == 0 and not gate.index.used


def test_a_small_cold_host_in_the_first_list_gets_no_more_than_its_part() -> None:
    """The mean size is known only when the whole list is read."""
    gate = Gateway(CONFIG, 1)
    small = it.HostEntry(1, 0, 0, READY, 0.25, START)
    large = [it.HostEntry(number, 0, 0, READY, 4.0) for number in range(2, 12)]
    gate.handle(START, it.HostList(it.ListKind.FULL, (small, *large)))
    mean = (0.25 + 40.0) / 11
    assert gate.index.cold.ends == [pytest.approx(RULES.fall_multiple / 3 * RULES.cold_share * 0.25 / mean)]
