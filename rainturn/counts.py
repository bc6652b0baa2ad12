"""Names and layout of the counts that gateways share through the counter."""

from __future__ import annotations

from typing import NamedTuple

from rainturn import interface as it

WINDOW_BITS = 30  # the low bits of a name hold the window's number, the bits above the customer's key
FIRST_SLOTS_NAME = 1 << 63  # names of the counts of open attempts begin here, above those of units
SLOTS_TOTAL_LIMIT = 1 << 20  # totals of open attempts stay below this, where the counter's totals are exact
WINDOW_BURSTS = 3.0  # window as a multiple of burst / rate: new ones hide recent use, long ones idle time
SHORTEST_WINDOW_MS, LONGEST_WINDOW_MS = 1000.0, 30_000.0
WINDOW_PHASE_STEP = 0.618  # golden ratio: the windows of many customers must not all begin at the same time
DIGIT_HEADROOM = 4  # a digit has room for this many times the largest cap


def window_ms(plan: it.Plan) -> float:
    """Return the length of the count windows of a plan's customers, in ms."""
    refills_ms = WINDOW_BURSTS * 1000.0 * plan.burst / (plan.rate or 1.0)
    return min(LONGEST_WINDOW_MS, max(SHORTEST_WINDOW_MS, refills_ms))


def window_phase(key: int, length_ms: float) -> float:
    """Return how much earlier a customer's windows begin than those of customer 0, in ms."""
    return key * WINDOW_PHASE_STEP % 1.0 * length_ms


def units_name(key: int, window: int) -> int:
    """Return the name of a customer's count of units in a window."""
    return (key << WINDOW_BITS) + window % (1 << WINDOW_BITS)


def slots_name(key: int, window: int) -> int:
    """Return the name of a customer's count of open attempts in a window."""
    return FIRST_SLOTS_NAME + units_name(key, window)


def is_slots_name(name: int) -> bool:
    """Return whether a name is that of a count of open attempts."""
    return name >= FIRST_SLOTS_NAME


def customer_key(name: int) -> int:
    """Return the key of the customer to whom a count belongs."""
    return (name % FIRST_SLOTS_NAME) >> WINDOW_BITS


class SlotShares(NamedTuple):
    """The open attempts in a total."""

    own: int  # of this gateway
    others: int


class SlotDigits:
    """The layout of a total of open attempts: one digit, in a large base, for each gateway.

    Each gateway can thus read its own part of the count, even after a call whose answer was lost. If there
    are too many gateways for that, all share one digit (`is_shared`).
    """

    def __init__(self, settings: it.Settings) -> None:
        largest_cap = max((plan.parallel for plan in settings.plans), default=0)
        self.digit_count = max(1, settings.gateways)
        self.position = settings.gateway
        self.base = int(SLOTS_TOTAL_LIMIT ** (1 / self.digit_count))
        if DIGIT_HEADROOM * largest_cap > self.base or self.position >= self.digit_count:
            self.digit_count, self.position, self.base = 1, 0, SLOTS_TOTAL_LIMIT
        self.is_shared = self.digit_count < settings.gateways

    def encode(self, slots: int) -> float:
        """Return the amount that adds this number of slots to this gateway's digit."""
        return slots * float(self.base**self.position)

    def decode(self, total: float) -> SlotShares:
        """Split a total. A digit may be negative for a while; other gateways' negative digits count as 0."""
        own, others, rest = 0, 0, round(total)
        for position in range(self.digit_count):
            slots = (rest + self.base // 2) % self.base - self.base // 2
            rest = (rest - slots) // self.base
            if position == self.position:
                own = slots
            else:
                others += max(0, slots)
        return SlotShares(own, others)
