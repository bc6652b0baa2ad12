"""Soak test with a few fixed seeds; `soak.py` runs more days from the command line."""

from __future__ import annotations

import pytest

from tests.soak import run_day

SEEDS = (2, 5, 6, 10, 15, 17, 23, 42)


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_day_breaks_no_rule(seed: int) -> None:
    day, faults = run_day(seed)
    assert not faults, faults[:10]
    assert sum(bool(request.answered_at) for request in day.requests.values()) > 200
