"""Arrival times of bytes that were read at once or waited in the socket buffer."""

from __future__ import annotations

from rainturn.node.arrival_times import RESOLUTION_MS, ArrivalTimes


def test_unread_bytes_have_the_time_at_which_they_were_first_noted() -> None:
    times = ArrivalTimes()
    times.note_received(10, 1000.0)
    times.note_unread(20, 1100.0)
    times.note_unread(30, 1200.0)
    times.note_received(35, 1500.0)
    assert [times.consume(end) for end in (5, 10, 11, 30, 31, 40, 41, 45)] == [
        1000.0,
        1000.0,
        1100.0,
        1100.0,
        1200.0,
        1200.0,
        1500.0,
        1500.0,
    ]


def test_single_bytes_share_marks() -> None:
    times = ArrivalTimes()
    for number in range(10_000):
        times.note_received(1, 1000.0 + number / 100)
    assert len(times.marks) <= 100 / RESOLUTION_MS + 1
    assert abs(times.consume(10_000) - 1100.0) <= RESOLUTION_MS
