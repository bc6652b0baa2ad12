"""The decision module's size: the files that the deploy file names under `policy`."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
MOST_LINES = 1200  # non-blank ones, comments too, in all files together


def test_the_policy_files_hold_at_most_1200_non_blank_lines_together() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    lines = {path: sum(bool(line.strip()) for line in (ROOT / path).open()) for path in deploy["policy"]}
    assert sum(lines.values()) <= MOST_LINES, lines
