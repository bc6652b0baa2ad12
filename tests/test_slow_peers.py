"""Attempts that make progress are not given up, and requests are answered in time, on a real process."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.slow_peers import play_case
from tests.slow_peers_cases import Case, Disturbance, Fault, random_case
from tests.sockets import run

CLASSES = ("read", "send", "pay")
WRITES = ("send", "pay")


def _play(cases: list[Case]) -> None:
    """Play the cases beside each other, each on a process of its own; none may show a fault."""

    async def main() -> None:
        faults = await asyncio.gather(*[play_case(case) for case in cases])
        assert not any(faults), faults

    run(main())


def test_late_rest_of_an_answer_is_awaited_at_its_host() -> None:
    """Guards against an attempt whose answer has begun being moved, or given up, as silent."""
    common: dict[str, Any] = {"pause_ms": 1000, "time_limit_s": 1.7}
    _play(
        [
            Case(Fault.LATE_BODY, class_name, length, **common)
            for class_name in CLASSES
            for length in (40_000, 200_000)
        ]
    )


def test_slowly_written_answer_is_not_asked_for_at_another_host() -> None:
    """Guards against an attempt being moved between two pieces of its answer."""
    common: dict[str, Any] = {"pause_ms": 350, "pieces": 4, "time_limit_s": 2.0}
    _play(
        [
            Case(Fault.SLOW_BODY, class_name, 40_000, behind=behind, **common)
            for class_name in CLASSES
            for behind in (0, 3)
        ]
    )


def test_command_that_its_host_reads_slowly_is_not_sent_to_another_host() -> None:
    """Guards against a host that still takes a command being taken for silent."""
    _play([Case(Fault.SLOW_READ, class_name, 60_000, 2.0, pieces=50) for class_name in WRITES])


def test_answer_in_progress_at_its_deadline_is_whole() -> None:
    """Guards against an answer that is written steadily being cut at the deadline of its request.

    An answer up to 64 KiB is not sent before it is whole: it has to be so while its reply may still begin.
    """
    common: dict[str, Any] = {"pause_ms": 50, "time_limit_s": 1.0}
    _play(
        [
            Case(Fault.SLOW_BODY, class_name, length, pieces=pieces, behind=behind, **common)
            for class_name in CLASSES
            for length, pieces, behind in ((40_000, 25, 0), (40_000, 25, 3), (200_000, 40, 3))
        ]
    )


def test_request_that_its_host_stops_reading_is_answered_in_time() -> None:
    """Guards against a time that begins when the gateway reads the last byte, long after it was written."""
    _play(
        [
            Case(Fault.STUCK, class_name, length, 0.7, behind=behind, may_finish=False)
            for class_name in WRITES
            for length, behind in ((1_300_000, 0), (2_300_000, 3))
        ]
        + [
            Case(Fault.SLOW_READ, class_name, 800_000, 0.5, pieces=80, may_finish=False)
            for class_name in WRITES
        ]
    )


def test_requests_that_their_hosts_stop_reading_are_answered_in_time_if_the_account_is_full() -> None:
    """Guards against the same where the bodies find no room and stay unread."""
    common: dict[str, Any] = {"behind": 3, "clients": 6, "may_finish": False, "memory_mb": 32}
    _play([Case(Fault.STUCK, class_name, 2_300_000, 0.7, **common) for class_name in WRITES])


def test_answers_in_progress_are_whole_during_a_shutdown_or_an_upgrade() -> None:
    """Guards against an end of what hosts still write, or requests without a reply, as a process ends."""
    common: dict[str, Any] = {"pause_ms": 300, "pieces": 5, "time_limit_s": 1.6}
    _play(
        [
            Case(Fault.SLOW_BODY, class_name, length, disturbance=disturbance, **common)
            for class_name, length in (("read", 200_000), ("pay", 40_000))
            for disturbance in Disturbance
        ]
    )


def test_seeded_random_cases_show_no_fault() -> None:
    """Guards against the same faults in other combinations; the command line plays more of them."""
    _play([random_case(seed) for seed in range(1, 13)])
