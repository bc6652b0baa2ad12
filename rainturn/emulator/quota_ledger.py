"""Tracks what customers have left of their quotas over all gateways, to measure the units beyond quotas."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from rainturn.emulator.workload import PLANS


@dataclass
class Units:
    """Units of attempts and refused requests.

    `admitted` counts the units of attempts that reached a host, `over_quota` those of them beyond quotas.
    `refused` counts the units of refused requests, `refused_within_quota` those that the customer had left.
    """

    admitted: float = 0.0
    over_quota: float = 0.0
    refused: float = 0.0
    refused_within_quota: float = 0.0

    def over_quota_fraction(self) -> float:
        """Return the fraction of the admitted units that was beyond quotas."""
        return self.over_quota / self.admitted if self.admitted else 0.0

    def refused_within_quota_fraction(self) -> float:
        """Return the fraction of all requested units that was refused although the customer had them left."""
        requested = self.admitted + self.refused
        return self.refused_within_quota / requested if requested else 0.0


class QuotaLedger:
    """A token bucket for each customer, refilled as the customer's plan states.

    An attempt that needs more units than the bucket holds takes none. `phase` is a label for the current part
    of a run. Times are in s.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, tuple[float, float]] = {}  # customer -> units, and when it held them
        self.phase = ""
        self.tallies: defaultdict[tuple[str, str], Units] = defaultdict(Units)  # by phase and group

    def _level(self, customer: int, plan: int, now: float) -> float:
        quota = PLANS[plan]
        level, updated_at = self._buckets.get(customer, (quota.peak_units, now))
        return min(quota.peak_units, level + quota.per_second * (now - updated_at))

    def record_admitted(self, group: str, customer: int, plan: int, units: float, now: float) -> None:
        """Record an attempt that has reached a host at the time `now`."""
        level = self._level(customer, plan, now)
        tally = self.tallies[self.phase, group]
        tally.admitted += units
        if level >= units:
            level -= units
        else:
            tally.over_quota += units
        self._buckets[customer] = level, now

    def record_refused(self, group: str, customer: int, plan: int, units: float, now: float) -> None:
        """Record a refused request."""
        tally = self.tallies[self.phase, group]
        tally.refused += units
        if self._level(customer, plan, now) >= units:
            tally.refused_within_quota += units
