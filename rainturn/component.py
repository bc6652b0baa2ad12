"""State that the components of a gateway share."""

from __future__ import annotations

import random

from rainturn import interface as it
from rainturn.averages import AnswerTime
from rainturn.timers import TimerQueue


class SharedState:
    """One gateway's settings, random source, actions, timers and usual answer times."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.actions: list[it.Action] = []  # decided on while the current event is handled
        self.timers = TimerQueue(self.actions)
        self.answer_times = [AnswerTime(c.aim_ms / 6, c.aim_ms / 12) for c in settings.classes]


class Component:
    """Base class of the components of a gateway."""

    def __init__(self, shared: SharedState) -> None:
        self.settings = shared.settings
        self.rng = shared.rng
        self.actions = shared.actions
        self.timers = shared.timers
        self.answer_times = shared.answer_times
