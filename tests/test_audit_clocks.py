"""Wall clocks that are stepped: our own before a start, a host's, and those of two processes."""

from __future__ import annotations

from rainturn import interface as it
from tests.helpers import Drive, hosts, of, settings

HOUR_MS = 3_600_000.0
REQUESTS = 400
FREE = it.Plan(price=1, rate=0, burst=0)


def _drive(fleet: int = 4) -> Drive:
    drive = Drive(settings(plans=(FREE,), counter=False), fleet=fleet, now=10 * HOUR_MS)
    drive.feed(it.HostList(it.ListKind.FULL, hosts(fleet).entries))
    return drive


def _share(drive: Drive, host: int) -> float:
    """The part of many requests at once that goes to a host."""
    sends = []
    for _ in range(REQUESTS):
        _, actions = drive.arrive()
        sends += of(actions, it.Send)
    for send in sends:
        drive.end(send, it.Outcome.OK, elapsed=10.0)
    return float(sum(send.host == host for send in sends) / REQUESTS)


def _entry(host: int, started: float) -> it.HostEntry:
    return it.HostEntry(host, host % 2, 0, it.HostState.READY, 1.0, started)


def _changed(drive: Drive, entry: it.HostEntry) -> None:
    drive.feed(it.HostList(it.ListKind.DELTA, (entry,)))


def test_a_host_that_has_just_started_is_cold_whatever_its_clock_says() -> None:
    """Its start is news, so it is seconds old, though the wall clocks lie an hour apart."""
    for told in (10 * HOUR_MS - HOUR_MS, 10 * HOUR_MS, 10 * HOUR_MS + HOUR_MS):
        new, again = _drive(), _drive()
        _changed(new, _entry(9, told))
        assert _share(new, 9) < 0.12, told  # an even share is 0.2
        _changed(again, _entry(1, 11 * HOUR_MS + told))
        again.run_for(20_000)
        _changed(again, _entry(1, told))  # started again, by a clock that was set back meanwhile
        assert _share(again, 1) < 0.15, told  # an even share is 0.25


def test_a_host_is_warm_in_its_time_though_its_clock_is_ahead() -> None:
    drive = _drive()
    _changed(drive, _entry(9, drive.now + HOUR_MS))
    drive.run_for(settings().rules.warm_ms + 1000.0)
    assert _share(drive, 9) > 0.12


def test_a_start_with_a_clock_that_was_set_forward_takes_the_newest_hosts_for_cold() -> None:
    """Nothing tells a quiet hour from a clock an hour ahead: the hosts that started last may be cold."""
    drive = Drive(settings(plans=(FREE,), counter=False), now=10 * HOUR_MS)
    entries = [_entry(host, 9 * HOUR_MS if host == 1 else 8 * HOUR_MS) for host in range(1, 6)]
    drive.feed(it.HostList(it.ListKind.FULL, tuple(entries)))
    assert _share(drive, 1) < 0.12
    drive.run_for(settings().rules.warm_ms + 1000.0)
    assert _share(drive, 1) > 0.12


def test_a_host_that_comes_back_to_the_list_with_the_start_it_had_is_as_warm_as_it_was() -> None:
    """Discovery had lost sight of it for a moment; nothing started."""
    drive = _drive()
    _changed(drive, _entry(9, drive.now))
    drive.run_for(settings().rules.warm_ms + 1000.0)
    before = drive.now
    drive.feed(it.HostList(it.ListKind.FULL, hosts(4).entries))  # it is left out
    drive.run_for(1000.0)
    _changed(drive, _entry(9, before - settings().rules.warm_ms - 1000.0))
    assert _share(drive, 9) > 0.12
