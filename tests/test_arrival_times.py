"""When bytes came, whether they were read at once or lay in the system."""

from __future__ import annotations

from rainturn.node.arrival_times import RESOLUTION_MS, ArrivalTimes


def test_bytes_that_lay_unread_came_when_they_were_first_seen() -> None:
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


def test_single_bytes_take_no_memory_each() -> None:
    times = ArrivalTimes()
    for number in range(10_000):
        times.note_received(1, 1000.0 + number / 100)
    assert len(times.marks) <= 100 / RESOLUTION_MS + 1
    assert abs(times.consume(10_000) - 1100.0) <= RESOLUTION_MS
