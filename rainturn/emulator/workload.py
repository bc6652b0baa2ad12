"""The deployment that a scale run plays: settings, the fleet's hosts, tenants, and the draw of requests."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, replace
from itertools import accumulate
from typing import Any

ZONES = 12
SERVICE_COUNT = 790
IDLE_LIMIT_MS = 30_000.0
CUSTOMER_BASE = 1 << 20  # customers are numbers below 2^33; these are easy to tell from other numbers
# Tenants' volumes fall as rank to this power: of 100,000 the largest has 2%, the middle one 4 in a million.
ZIPF_EXPONENT = 0.8
SPREAD_FRACTIONS = (
    0.5,
    1.0,
)  # part of the gateways through which a tenant's requests come, as in the standing test
MAX_UNITS = 4.0
QUOTA_HEADROOM = 1.5  # a tenant's plan has this much more than its mean use, at least
HEAVY_TENANT_FRACTION = 0.1  # of the tenants ask for more than their quota, as in the standing test
HEAVY_MIN_OVERUSE = 2.0  # so many times their quota at least, and up to four times as much
SERVICE_TIME_MEAN_MS = 20.0  # of a host's drawn service time: exponential, and never under the least
SERVICE_TIME_MIN_MS = 2.0


@dataclass(frozen=True)
class WorkloadClass:
    """A class of requests under its name on the wire, and the part of all requests that it is."""

    name: str
    effect: str
    part: float


CLASSES = (
    WorkloadClass("read", "retryable", 0.80),
    WorkloadClass("order", "dedup", 0.15),
    WorkloadClass("pay", "fragile", 0.05),
)


@dataclass(frozen=True)
class QuotaPlan:
    """A plan under its name on the wire: units a second, and units at once."""

    name: str
    per_second: float
    peak_units: float


PLANS = tuple(QuotaPlan(f"plan{n}", 2.0 * 4.0**n, 6.0 * 4.0**n) for n in range(8))


def zone_names(zones: int = ZONES) -> list[str]:
    """The zones, three to a region."""
    return [f"region{number // 3}-zone{number % 3}" for number in range(zones)]


def wire_settings(me: int, gateways: int) -> dict[str, Any]:
    """The settings object of one gateway, under the wire's names."""
    return {
        "me": me,
        "balancers": gateways,
        "my_zone": me % ZONES,
        "tick_ms": 4.0,
        "discovery": "ask",
        "localities": zone_names(),
        "classes": [
            {
                "name": kind.name,
                "effect": kind.effect,
                "group": "all",
                "target_ms": 1500.0,
                "hard_limit_ms": 6000.0,
                "window_ms": 12_000.0,
                "credit": 2.0,
            }
            for kind in CLASSES
        ],
        "plans": [
            {
                "name": plan.name,
                "price": 1.0,
                "per_second": plan.per_second,
                "peak_units": plan.peak_units,
                "parallel": 0,
                "never_over_rate": 0.0,
            }
            for plan in PLANS
        ],
        "rules": {
            "grace_to_answer_ms": 16.0,
            "drain_grace_ms": 1000.0,
            "fall_multiple": 3.0,
            "fall_ms": 1000.0,
            "cold_from": 0.3,
            "warm_within_ms": 10_000.0,
        },
        "limits": {
            "max_attempts": 4,
            "may_cancel": True,
            "may_duplicate": False,
            "connect_timeout_ms": 250.0,
            "conn_idle_ms": IDLE_LIMIT_MS,
            "max_open": 20_000,
        },
        "family_info": {"may_count": True, "counter_timeout_ms": 50.0, "units_top": MAX_UNITS},
        "weight_kind": "rough",
    }


@dataclass(frozen=True)
class HostListEntry:
    """One line of the host list."""

    host: str
    dial: str
    site: str
    block: int
    health: str = "in_service"
    born_ms: float = 0.0

    def encode(self) -> bytes:
        """The line as JSON."""
        line = {
            "host": self.host,
            "dial": self.dial,
            "site": self.site,
            "class": "m2",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }
        return json.dumps(line, separators=(",", ":")).encode()

    def with_health(self, health: str, born_ms: float | None = None) -> HostListEntry:
        """The same host in another state."""
        return replace(self, health=health, born_ms=self.born_ms if born_ms is None else born_ms)


def make_host_entries(hosts: int, dials: tuple[str, ...]) -> list[HostListEntry]:
    """A fleet's host list, over the zones and services in turn; several hosts share an address of `dials`."""
    sites = zone_names()
    return [
        HostListEntry(
            f"h-{n:06x}", dials[n % len(dials)], sites[n % ZONES], n % min(SERVICE_COUNT, max(1, hosts // 4))
        )
        for n in range(hosts)
    ]


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer: its plan, and its set of `spread` gateways from number `first`, counted round."""

    customer: int
    plan: int
    spread: int
    first: int


@dataclass(frozen=True, slots=True)
class DrawnRequest:
    """One request that the load has drawn."""

    tenant: Tenant
    gateway: int
    kind: int
    units: float


class Tenants:
    """All tenants of a fleet, the same for the same seed in every process."""

    def __init__(self, tenants: int, gateways: int, requests_per_second: float, seed: int) -> None:
        rng = random.Random(seed)
        weights = [(rank + 1) ** -ZIPF_EXPONENT for rank in range(tenants)]
        scale = requests_per_second / sum(weights)
        self.cumulative = list(accumulate(weights))
        self.tenants = [
            Tenant(
                CUSTOMER_BASE + number,
                _plan_for(weight * scale * _mean_units(), rng.random() < HEAVY_TENANT_FRACTION),
                max(1, round(rng.uniform(*SPREAD_FRACTIONS) * gateways)),
                rng.randrange(gateways),
            )
            for number, weight in enumerate(weights)
        ]
        self.gateways = gateways
        self._class_weights = list(accumulate(kind.part for kind in CLASSES))

    def draw(self, rng: random.Random) -> DrawnRequest:
        """The next request: a tenant by its volume, and a gateway of its set."""
        tenant = rng.choices(self.tenants, cum_weights=self.cumulative)[0]
        gateway = (tenant.first + rng.randrange(tenant.spread)) % self.gateways
        kind = rng.choices(range(len(CLASSES)), cum_weights=self._class_weights)[0]
        return DrawnRequest(tenant, gateway, kind, float(rng.randint(1, int(MAX_UNITS))))


def _mean_units() -> float:
    return (1 + MAX_UNITS) / 2


def _plan_for(units_per_second: float, heavy: bool) -> int:
    """The smallest plan with room for a tenant's mean use; a heavy one's is the largest it asks too much of.

    One that uses too little to ask too much of any plan is not heavy.
    """
    if heavy and units_per_second >= HEAVY_MIN_OVERUSE * PLANS[0].per_second:
        return sum(units_per_second >= HEAVY_MIN_OVERUSE * plan.per_second for plan in PLANS) - 1
    fitting = (n for n, plan in enumerate(PLANS) if units_per_second * QUOTA_HEADROOM <= plan.per_second)
    return next(fitting, len(PLANS) - 1)


def draw_service_time_ms(rng: random.Random) -> float:
    """A host's service time for one request, in ms."""
    return SERVICE_TIME_MIN_MS + rng.expovariate(1.0 / (SERVICE_TIME_MEAN_MS - SERVICE_TIME_MIN_MS))
