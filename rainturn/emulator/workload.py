"""The deployment that a scale run emulates: settings, hosts, tenants, and randomly drawn requests."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, replace
from itertools import accumulate
from typing import Any

ZONES = 12
SERVICE_COUNT = 790
IDLE_LIMIT_MS = 30_000.0
# Customer numbers lie below 2^33; numbers from here on are easy to tell from other numbers.
CUSTOMER_BASE = 1 << 20
# A tenant's request volume is proportional to its rank to the power of minus this: of 100,000 tenants the
# largest has 2% of all requests and the median one 4 in a million.
ZIPF_EXPONENT = 0.8
# Least and largest fraction of the gateways through which a tenant's requests come, as in the acceptance
# test, which runs a whole fleet with customers, hosts and injected faults.
SPREAD_FRACTIONS = (0.5, 1.0)
MAX_UNITS = 4.0  # of one request
QUOTA_HEADROOM = 1.5  # least ratio of the rate of a tenant's plan to the tenant's mean use
HEAVY_TENANT_FRACTION = 0.1  # of the tenants exceed their quota, as in the acceptance test
HEAVY_MIN_OVERUSE = 2.0  # least ratio of their use to their quota; the ratio reaches four times this value
# A host's service time is the minimum plus an exponentially distributed time.
SERVICE_TIME_MEAN_MS = 20.0
SERVICE_TIME_MIN_MS = 2.0


@dataclass(frozen=True)
class WorkloadClass:
    """A class of requests, with its name and effect on the wire and its fraction of all requests."""

    name: str
    effect: str
    fraction: float


CLASSES = (
    WorkloadClass("read", "retryable", 0.80),
    WorkloadClass("order", "dedup", 0.15),
    WorkloadClass("pay", "fragile", 0.05),
)


@dataclass(frozen=True)
class QuotaPlan:
    """A plan under its name on the wire: units per second, and the most units at once."""

    name: str
    per_second: float
    peak_units: float


PLANS = tuple(QuotaPlan(f"plan{n}", 2.0 * 4.0**n, 6.0 * 4.0**n) for n in range(8))


def zone_names(zones: int = ZONES) -> list[str]:
    """Return the names of the zones, three to a region."""
    return [f"region{number // 3}-zone{number % 3}" for number in range(zones)]


def wire_settings(number: int, gateways: int) -> dict[str, Any]:
    """Build the settings object of gateway `number` of a fleet, with the names used on the wire."""
    return {
        "me": number,
        "balancers": gateways,
        "my_zone": number % ZONES,
        "tick_ms": 4.0,
        "discovery": "ask",
        "localities": zone_names(),
        "classes": [
            {
                "name": request_class.name,
                "effect": request_class.effect,
                "group": "all",
                "target_ms": 1500.0,
                "hard_limit_ms": 6000.0,
                "window_ms": 12_000.0,
                "credit": 2.0,
            }
            for request_class in CLASSES
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
    """One entry of the host list; its fields have their names on the wire."""

    host: str
    dial: str
    site: str
    block: int
    health: str = "in_service"
    born_ms: float = 0.0

    def encode(self) -> bytes:
        """Encode the entry as JSON."""
        entry = {
            "host": self.host,
            "dial": self.dial,
            "site": self.site,
            "class": "m2",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }
        return json.dumps(entry, separators=(",", ":")).encode()

    def with_health(self, health: str, born_ms: float | None = None) -> HostListEntry:
        """Return an entry of the same host with this health, and with this `born_ms` if it is given."""
        return replace(self, health=health, born_ms=self.born_ms if born_ms is None else born_ms)


def make_host_entries(hosts: int, addresses: tuple[str, ...]) -> list[HostListEntry]:
    """Build a host list, with the hosts spread evenly over zones, services and `addresses`.

    Several hosts share an address.
    """
    sites = zone_names()
    return [
        HostListEntry(
            f"h-{n:06x}",
            addresses[n % len(addresses)],
            sites[n % ZONES],
            n % min(SERVICE_COUNT, max(1, hosts // 4)),
        )
        for n in range(hosts)
    ]


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its plan.

    Its requests come through `spread` gateways: those numbered from `first` on, modulo the size of the fleet.
    """

    customer: int
    plan: int
    spread: int
    first: int


@dataclass(frozen=True, slots=True)
class DrawnRequest:
    """One randomly drawn request: its tenant, gateway and units, and its class as an index into `CLASSES`."""

    tenant: Tenant
    gateway: int
    class_index: int
    units: float


class Tenants:
    """All tenants of a fleet. Every process that uses the same seed gets the same tenants."""

    def __init__(self, tenants: int, gateways: int, requests_per_second: float, seed: int) -> None:
        rng = random.Random(seed)
        weights = [(rank + 1) ** -ZIPF_EXPONENT for rank in range(tenants)]
        requests_per_weight = requests_per_second / sum(weights)
        self.cumulative_weights = list(accumulate(weights))
        self.tenants = [
            Tenant(
                CUSTOMER_BASE + number,
                _plan_for(weight * requests_per_weight * _mean_units(), rng.random() < HEAVY_TENANT_FRACTION),
                max(1, round(rng.uniform(*SPREAD_FRACTIONS) * gateways)),
                rng.randrange(gateways),
            )
            for number, weight in enumerate(weights)
        ]
        self.gateways = gateways
        self._class_weights = list(accumulate(request_class.fraction for request_class in CLASSES))

    def draw(self, rng: random.Random) -> DrawnRequest:
        """Draw a request: a tenant weighted by its volume, a gateway of its set, a class and units."""
        tenant = rng.choices(self.tenants, cum_weights=self.cumulative_weights)[0]
        gateway = (tenant.first + rng.randrange(tenant.spread)) % self.gateways
        class_index = rng.choices(range(len(CLASSES)), cum_weights=self._class_weights)[0]
        return DrawnRequest(tenant, gateway, class_index, float(rng.randint(1, int(MAX_UNITS))))


def _mean_units() -> float:
    return (1 + MAX_UNITS) / 2


def _plan_for(units_per_second: float, is_heavy: bool) -> int:
    """Return the index of a tenant's plan, given its mean use in units per second.

    This is the smallest plan with headroom for that use. A heavy tenant instead gets the largest plan that it
    exceeds by the factor `HEAVY_MIN_OVERUSE`, unless it uses too little to exceed any plan by that factor.
    """
    if is_heavy and units_per_second >= HEAVY_MIN_OVERUSE * PLANS[0].per_second:
        return sum(units_per_second >= HEAVY_MIN_OVERUSE * plan.per_second for plan in PLANS) - 1
    sufficient = (n for n, plan in enumerate(PLANS) if units_per_second * QUOTA_HEADROOM <= plan.per_second)
    return next(sufficient, len(PLANS) - 1)


def draw_service_time_ms(rng: random.Random) -> float:
    """Draw a host's service time for one request, in ms."""
    return SERVICE_TIME_MIN_MS + rng.expovariate(1.0 / (SERVICE_TIME_MEAN_MS - SERVICE_TIME_MIN_MS))
