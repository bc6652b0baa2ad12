"""The decision module does not move attempts that make progress, and moves those that are silent."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rainturn import interface as it
from rainturn.timers import EARLY_TOLERANCE_MS, TimerQueue
from tests.helpers import LIMITS, GatewayDriver, of_type, settings

SILENCE_MS = 3000.0  # longer than any host may be silent


def _driver(may_duplicate: bool = False) -> GatewayDriver:
    limits = replace(LIMITS, may_duplicate=may_duplicate)
    return GatewayDriver(settings(counter=False, limits=limits), host_count=2)


@pytest.mark.parametrize("request_class", [0, 1])
def test_attempt_whose_answer_has_begun_is_not_cancelled(request_class: int) -> None:
    driver = _driver()
    number, _ = driver.start_request(request_class)
    driver.handle(it.AnswerBegan(number, 0))
    assert not of_type(driver.advance_clock(SILENCE_MS), it.Cancel)


def test_silence_of_a_host_counts_from_the_end_of_the_command() -> None:
    driver = _driver()
    number, _ = driver.start_request(request_class=1)
    driver.handle(it.CommandTransfer(number, 0, True))
    assert not of_type(driver.advance_clock(SILENCE_MS), it.Cancel)
    driver.handle(it.CommandTransfer(number, 0, False))
    assert of_type(driver.advance_clock(SILENCE_MS), it.Cancel) == [it.Cancel(number, 0)]


def test_silent_attempt_is_still_cancelled() -> None:
    driver = _driver()
    number, _ = driver.start_request()
    assert of_type(driver.advance_clock(SILENCE_MS), it.Cancel) == [it.Cancel(number, 0)]


def test_request_that_may_be_at_two_hosts_gets_a_second_attempt_beside_one_in_progress() -> None:
    """An answer that never ends then costs its request nothing."""
    driver = _driver(may_duplicate=True)
    number, actions = driver.start_request()
    (first,) = of_type(actions, it.Send)
    driver.handle(it.AnswerBegan(number, 0))
    actions = driver.advance_clock(SILENCE_MS)
    assert of_type(actions, it.Send) and not of_type(actions, it.Cancel)
    assert not driver.gateway.hosts[first.host].failures


def test_events_of_requests_that_have_ended_are_ignored() -> None:
    driver = _driver()
    for event in (it.AnswerBegan(99, 0), it.CommandTransfer(99, 0, True)):
        assert not driver.handle(event)


def test_timer_that_sets_itself_again_for_now_does_not_run_without_end() -> None:
    """A check that is run 0.01 ms early and waits for the rest did so."""
    timers, runs = TimerQueue([]), list[float]()

    def run(now: float) -> None:
        runs.append(now)
        timers.after(now, EARLY_TOLERANCE_MS / 2, run)

    timers.after(0.0, 1.0, run)
    timers.run_due(1.0)
    assert runs == [1.0]
    timers.run_due(1.5)
    assert runs == [1.0, 1.5]


def test_command_transfer_that_ends_just_before_the_check_of_silence_does_not_stop_the_module() -> None:
    """Guards against a check that is due again at once, again and again."""
    driver = _driver()
    number, actions = driver.start_request(request_class=1)
    driver.handle(it.CommandTransfer(number, 0, True))
    driver.now += 100.0
    driver.handle(it.CommandTransfer(number, 0, False))
    limit_ms = driver.gateway.host_selector.max_silence_ms(
        driver.gateway.open[number], next(iter(driver.gateway.hosts.values()))
    )
    driver.now += limit_ms - EARLY_TOLERANCE_MS / 2
    driver.handle(it.TimerFired(0))
    driver.now += 1.0
    assert of_type(driver.handle(it.TimerFired(0)), it.Cancel) == [it.Cancel(number, 0)]
