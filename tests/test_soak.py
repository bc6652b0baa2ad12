"""Soak test with a few fixed seeds; `soak.py` runs more of them from the command line."""

from __future__ import annotations

import pytest

from tests.soak import run_seed

SEEDS = (2, 5, 6, 10, 15, 17, 23, 42)


@pytest.mark.parametrize("seed", SEEDS)
def test_seeded_run_breaks_no_rule(seed: int) -> None:
    soak_run, faults = run_seed(seed)
    assert not faults, faults[:10]
    assert sum(bool(request.answered_at) for request in soak_run.requests.values()) > 200
