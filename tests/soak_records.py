"""What a soak run records of its requests and attempts, and its random parameters."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from tests.sockets import DEFAULT_SETTINGS

DRAIN_GRACE_S = 1.0
HOSTS = 5


@dataclass
class SentRequest:
    """A request as its client sees it; times are on the event loop's clock, in s."""

    kind: str
    patience_s: float  # from the last byte to its deadline
    sent_at: float
    is_complete: bool = True  # whether its last byte is written
    left_at: float | None = None
    answer: Any = None
    answered_at: float = 0.0
    first_byte_at: float | None = None  # when a part of its answer had come, if it did not come whole
    previous_answer_at: float = 0.0  # when the previous answer on its connection came
    ended_at: float | None = None  # when its connection ended without an answer
    was_reset: bool = False
    is_cut: bool = False  # whether its connection ended within its value
    is_behind_cut: bool = False  # whether its connection ended within a value before its own


@dataclass
class HostAttempt:
    """An attempt as its host sees it."""

    host: int
    began_at: float
    time_left_s: float  # until the deadline, as announced to the host
    ended_at: float | None = None
    never_ran: bool = False
    pause_s: float = 0.0  # between two pieces of its answer, if its host writes slowly
    cut_at: float | None = None  # when the gateway closed the connection between two pieces


@dataclass
class SoakRun:
    """The random parameters of a run, and the requests and attempts recorded during it."""

    seed: int
    requests: dict[bytes, SentRequest] = field(default_factory=dict)
    attempts: dict[bytes, list[HostAttempt]] = field(default_factory=dict)
    drained_at: dict[int, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    lag_s: float = 0.0  # longest delay of this process, by which recorded times may be late
    cpu_wait_s: float = 0.0  # longest wait of the gateway for a core in a window, by the scheduler
    restarts: int = 0
    stopping_at: list[float] = field(default_factory=list)  # when each process was told to end
    killed_at: list[float] = field(default_factory=list)  # when it had ended, or was killed

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.longest_deadline_s = self.rng.choice((0.6, 1.0, 1.6))
        self.window_s = self.rng.choice((0.5, 1.5, 6.0))
        self.has_idle_connections = self.rng.random() < 0.3
        self.hanging_hosts = set(self.rng.sample(range(HOSTS), self.rng.choice((0, 1, 2))))
        self.may_hang = False  # whether the hanging hosts stop answering now
        self.may_duplicate = self.rng.random() < 0.3  # whether a request may be at two hosts at once

    def settings(self) -> dict[str, Any]:
        """Return the gateway's settings for this run."""
        class_changes = {
            "hard_limit_ms": self.longest_deadline_s * 1000,
            "target_ms": self.longest_deadline_s * 400,
            "group": "all",
        }
        classes = [
            one | class_changes | {"window_ms": self.window_s * 1000} for one in DEFAULT_SETTINGS["classes"]
        ]
        limits = DEFAULT_SETTINGS["limits"] | {
            "may_duplicate": self.may_duplicate,
            "conn_idle_ms": 2000,
        }
        rules = DEFAULT_SETTINGS["rules"] | {"drain_grace_ms": DRAIN_GRACE_S * 1000}
        return DEFAULT_SETTINGS | {"classes": classes, "limits": limits, "rules": rules}
