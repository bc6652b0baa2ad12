"""Some seeded soak days; more are played by hand, see `soak.py`."""

from __future__ import annotations

import pytest

from tests.soak import play

SEEDS = (2, 5, 6, 10, 15, 17, 23, 42)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_on_a_soak_day(seed: int) -> None:
    day, faults = play(seed)
    assert not faults, faults[:10]
    assert sum(bool(sent.answered_at) for sent in day.sent.values()) > 200
