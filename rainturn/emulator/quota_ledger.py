"""What customers truly have left of their quotas, all gateways together: the measure of units beyond them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from rainturn.emulator.workload import PLANS


@dataclass
class Units:
    """Units of tries that came to a host, those beyond quotas, and those refused though there was room."""

    let_in: float = 0.0
    beyond: float = 0.0
    refused: float = 0.0
    refused_with_room: float = 0.0

    def beyond_part(self) -> float:
        """Part of what was let in that was beyond quotas."""
        return self.beyond / self.let_in if self.let_in else 0.0

    def refused_with_room_part(self) -> float:
        """Part of all units asked for that was refused though the customer's store held it."""
        asked = self.let_in + self.refused
        return self.refused_with_room / asked if asked else 0.0


class QuotaLedger:
    """A store for each customer, filled as its plan says; a try beyond it takes nothing of it."""

    def __init__(self) -> None:
        self._stores: dict[int, tuple[float, float]] = {}  # customer -> units, and when, in s
        self.phase = ""
        self.tallies: defaultdict[tuple[str, str], Units] = defaultdict(Units)  # by phase and group

    def _level(self, customer: int, plan: int, now: float) -> float:
        settings = PLANS[plan]
        level, since = self._stores.get(customer, (settings.peak_units, now))
        return min(settings.peak_units, level + settings.per_second * (now - since))

    def let_in(self, group: str, customer: int, plan: int, units: float, now: float) -> None:
        """A try has come to a host at a time in s."""
        level = self._level(customer, plan, now)
        tally = self.tallies[self.phase, group]
        tally.let_in += units
        if level >= units:
            level -= units
        else:
            tally.beyond += units
        self._stores[customer] = level, now

    def refused(self, group: str, customer: int, plan: int, units: float, now: float) -> None:
        """A try was refused."""
        tally = self.tallies[self.phase, group]
        tally.refused += units
        if self._level(customer, plan, now) >= units:
            tally.refused_with_room += units
