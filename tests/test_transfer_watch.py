"""Whether a host still takes a command is judged by what its machine acknowledges."""

from __future__ import annotations

from rainturn.node.transfer_watch import PAUSE_LIMIT_MS, TransferWatch


def test_command_that_is_taken_at_once_is_over_at_once() -> None:
    watch = TransferWatch(10_000, 0.0)
    watch.note(0, 20.0)
    assert watch.is_over(20.0) and not watch.is_under_way(20.0)


def test_host_still_has_to_read_what_its_machine_took_at_once() -> None:
    watch = TransferWatch(60_000, 0.0)
    watch.note(40_000, 20.0)  # a third fits into its buffers
    for now in range(40, 800, 20):
        watch.note(40_000 - 50 * now, float(now))  # it reads 50 KB a second
        assert watch.is_under_way(now)
    watch.note(0, 800.0)
    assert watch.is_under_way(1190.0) and not watch.is_over(1190.0)
    assert watch.is_over(1210.0) and not watch.is_under_way(1210.0)


def test_host_that_has_stopped_reading_is_silent_and_may_go_on() -> None:
    watch = TransferWatch(60_000, 0.0)
    watch.note(40_000, 20.0)
    watch.note(40_000, 20.0 + PAUSE_LIMIT_MS + 1)
    assert not watch.is_under_way(20.0 + PAUSE_LIMIT_MS + 1)
    watch.note(30_000, 2000.0)
    assert watch.is_under_way(2000.0) and not watch.is_over(2000.0)
