"""What customers truly have left of their quotas, all gateways together: the measure of units beyond them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from rainturn.emulator.workload import PLANS


@dataclass
class Units:
    """Units of tries that came to a host, those beyond quotas, and those refused though there was room."""

    admitted: float = 0.0
    over_quota: float = 0.0
    refused: float = 0.0
    refused_within_quota: float = 0.0

    def over_quota_fraction(self) -> float:
        """Part of what was let in that was beyond quotas."""
        return self.over_quota / self.admitted if self.admitted else 0.0

    def refused_within_quota_fraction(self) -> float:
        """Part of all units asked for that was refused though the customer's store held it."""
        asked = self.admitted + self.refused
        return self.refused_within_quota / asked if asked else 0.0


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

    def record_admitted(self, group: str, customer: int, plan: int, units: float, now: float) -> None:
        """A try has come to a host at a time in s."""
        level = self._level(customer, plan, now)
        tally = self.tallies[self.phase, group]
        tally.admitted += units
        if level >= units:
            level -= units
        else:
            tally.over_quota += units
        self._stores[customer] = level, now

    def record_refused(self, group: str, customer: int, plan: int, units: float, now: float) -> None:
        """A try was refused."""
        tally = self.tallies[self.phase, group]
        tally.refused += units
        if self._level(customer, plan, now) >= units:
            tally.refused_within_quota += units
