"""Stepped wall clocks: the gateway's own before a start, a host's, and those of two processes."""

from __future__ import annotations

from rainturn import interface as it
from tests.helpers import GatewayDriver, hosts, of_type, settings

HOUR_MS = 3_600_000.0
REQUESTS = 400
UNLIMITED = it.Plan(price=1, rate=0, burst=0)


def _gateway(fleet: int = 4) -> GatewayDriver:
    driver = GatewayDriver(settings(plans=(UNLIMITED,), counter=False), host_count=fleet, now=10 * HOUR_MS)
    driver.handle(it.HostList(it.ListKind.FULL, hosts(fleet).entries))
    return driver


def _share(driver: GatewayDriver, host: int) -> float:
    """Return the share of many simultaneous requests that goes to a host."""
    sends = []
    for _ in range(REQUESTS):
        _, actions = driver.start_request()
        sends += of_type(actions, it.Send)
    for send in sends:
        driver.end_attempt(send, it.Outcome.OK, elapsed_ms=10.0)
    return float(sum(send.host == host for send in sends) / REQUESTS)


def _entry(host: int, started: float) -> it.HostEntry:
    return it.HostEntry(host, host % 2, 0, it.HostState.READY, 1.0, started)


def _update(driver: GatewayDriver, entry: it.HostEntry) -> None:
    driver.handle(it.HostList(it.ListKind.DELTA, (entry,)))


def test_a_host_that_has_just_started_is_cold_whatever_its_clock_shows() -> None:
    """A start that is new in the list happened seconds ago, although the wall clocks differ by an hour."""
    for listed_start in (10 * HOUR_MS - HOUR_MS, 10 * HOUR_MS, 10 * HOUR_MS + HOUR_MS):
        new, again = _gateway(), _gateway()
        _update(new, _entry(9, listed_start))
        assert _share(new, 9) < 0.12, listed_start  # an even share is 0.2
        _update(again, _entry(1, 11 * HOUR_MS + listed_start))
        again.advance_clock(20_000)
        _update(again, _entry(1, listed_start))  # restarted, with a clock that was set back meanwhile
        assert _share(again, 1) < 0.15, listed_start  # an even share is 0.25


def test_a_host_becomes_warm_in_time_although_its_clock_is_ahead() -> None:
    driver = _gateway()
    _update(driver, _entry(9, driver.now + HOUR_MS))
    driver.advance_clock(settings().rules.warm_ms + 1000.0)
    assert _share(driver, 9) > 0.12


def test_a_gateway_started_with_a_clock_set_forward_takes_the_newest_hosts_for_cold() -> None:
    """A quiet hour and a clock that is an hour ahead look the same: the newest hosts may be cold."""
    driver = GatewayDriver(settings(plans=(UNLIMITED,), counter=False), now=10 * HOUR_MS)
    entries = [_entry(host, 9 * HOUR_MS if host == 1 else 8 * HOUR_MS) for host in range(1, 6)]
    driver.handle(it.HostList(it.ListKind.FULL, tuple(entries)))
    assert _share(driver, 1) < 0.12
    driver.advance_clock(settings().rules.warm_ms + 1000.0)
    assert _share(driver, 1) > 0.12


def test_a_host_that_returns_to_the_list_with_its_old_start_stays_as_warm_as_it_was() -> None:
    """Discovery had left the host out for a moment; the host did not restart."""
    driver = _gateway()
    _update(driver, _entry(9, driver.now))
    driver.advance_clock(settings().rules.warm_ms + 1000.0)
    before = driver.now
    driver.handle(it.HostList(it.ListKind.FULL, hosts(4).entries))  # without the host
    driver.advance_clock(1000.0)
    _update(driver, _entry(9, before - settings().rules.warm_ms - 1000.0))
    assert _share(driver, 9) > 0.12
