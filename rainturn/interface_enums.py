"""The enumerations of the decision module's interface."""

from __future__ import annotations

import enum


class Effect(enum.Enum):
    """The effect of running a request a second time."""

    SAFE = "safe"  # nothing further
    KEYED = "keyed"  # nothing further while hosts still recognize its key and drop the repeat
    UNSAFE = "unsafe"  # it takes effect again


class Group(enum.Enum):
    """Which hosts drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"  # those in the zone of the host that got it first
    CELL = "cell"  # those in the zone and cell of the host that got it first


class HostState(enum.Enum):
    """State of a host according to the host list."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests and must get no new ones
    GONE = "gone"


class ListKind(enum.Enum):
    """How a host list event relates to the list before it."""

    DELTA = "delta"  # only the entries that have changed
    FULL = "full"  # the whole list
    CACHED = "cached"  # the whole list as it was known earlier
    FAILED = "failed"  # no list: the subscription has ended


class Outcome(enum.Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error
    FULL = "full"  # refused because of overload; it did not run
    TIMEOUT = "timeout"  # sent and not answered in time
    UNREACHABLE = "unreachable"  # no connection, or it broke before all was sent; it did not run
    RESET = "reset"  # the connection broke after all was sent
    CANCELLED = "cancelled"  # by a `Cancel` action
    NOT_SENT = "moot"  # given up before all was sent, for a reason that is not the host's


class RefusalReason(enum.Enum):
    """Why the decision module refused or failed a request."""

    UNSPECIFIED = "unspecified"
    DECISION_ERROR = "decision_error"  # the decision module raised an exception
    UNKNOWN_CLASS = "unknown_class"
    DEADLINE = "deadline"
    TOO_LITTLE_TIME = "too_little_time"  # its deadline came too soon to send it
    CUSTOMERS_FULL = "customers_full"  # no further customer can be remembered
    TIER = "tier"  # the hosts are pressed, and its tier is not admitted
    QUOTA = "quota"
    SLOTS = "slots"  # its customer has too many open attempts
    HELD_TOO_LONG = "held_too_long"  # no host, slot or total in time
    NOT_REPEATABLE = "not_repeatable"  # its attempt failed, and no other may follow
