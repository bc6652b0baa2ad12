"""Names and layout of the counts that gateways share through the counter."""

from __future__ import annotations

from typing import NamedTuple

from rainturn import interface as it

WINDOW_BITS = 30  # a name holds the customer's key above the window's number
SLOT_NAMES = 1 << 63  # names of the counts of open attempts begin here, above those of units
DIGITS_END = 1 << 20  # totals of open attempts stay under this: so far the counter's totals are exact
WINDOW_BURSTS = 3.0  # window in burst / rate: a new one hides what the last used, a long one what was idle
SHORTEST_WINDOW_MS, LONGEST_WINDOW_MS = 1000.0, 30_000.0
WINDOW_SPREAD = 0.618  # the golden section: windows of many customers must not all begin at once
DIGIT_ROOM = 4  # a digit has room for this many times the largest cap


def window_ms(plan: it.Plan) -> float:
    """How long the windows of the counts of a plan's customers are."""
    refills_ms = WINDOW_BURSTS * 1000.0 * plan.burst / (plan.rate or 1.0)
    return min(LONGEST_WINDOW_MS, max(SHORTEST_WINDOW_MS, refills_ms))


def window_phase(key: int, length_ms: float) -> float:
    """By how much a customer's windows begin earlier than those of the customer 0, ms."""
    return key * WINDOW_SPREAD % 1.0 * length_ms


def units_name(key: int, window: int) -> int:
    """The name of a customer's count of units in a window."""
    return (key << WINDOW_BITS) + window % (1 << WINDOW_BITS)


def slots_name(key: int, window: int) -> int:
    """The name of a customer's count of open attempts in a window."""
    return SLOT_NAMES + units_name(key, window)


def is_slots_name(name: int) -> bool:
    """Whether a name is one of a count of open attempts."""
    return name >= SLOT_NAMES


def customer_key(name: int) -> int:
    """The key of the customer whose count this is."""
    return (name % SLOT_NAMES) >> WINDOW_BITS


class SlotShares(NamedTuple):
    """What a total of open attempts holds."""

    own: int  # of this gateway
    others: int


class SlotDigits:
    """The layout of a total of open attempts: a digit, to a large base, for each gateway.

    So each sees what the count holds of it, also after a call whose answer was lost. Where there are too many
    gateways for that, all count at one digit (`shared`).
    """

    def __init__(self, settings: it.Settings) -> None:
        largest_cap = max((plan.parallel for plan in settings.plans), default=0)
        self.count = max(1, settings.gateways)
        self.position = settings.gateway
        self.base = int(DIGITS_END ** (1 / self.count))
        if DIGIT_ROOM * largest_cap > self.base or self.position >= self.count:
            self.count, self.position, self.base = 1, 0, DIGITS_END
        self.shared = self.count < settings.gateways

    def encode(self, slots: int) -> float:
        """The amount that adds so many slots at this gateway's digit."""
        return slots * float(self.base**self.position)

    def decode(self, total: float) -> SlotShares:
        """Split a total. A digit may be negative for a while; others' negative ones count as nothing."""
        own, others, rest = 0, 0, round(total)
        for position in range(self.count):
            held = (rest + self.base // 2) % self.base - self.base // 2
            rest = (rest - held) // self.base
            if position == self.position:
                own = held
            else:
                others += max(0, held)
        return SlotShares(own, others)
