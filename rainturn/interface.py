"""Types at the boundary of the decision module: settings at the start, events in, actions out.

All times are milliseconds. Points in time are on the clock that `Gateway.handle` is given.

Comments of the decision module refer to the rules of the simulator's protocol by their numbers:
1. Every request gets its final answer in time.
2. No request takes effect twice.
3. Nothing is sent to a draining or gone host after the grace period.
4. A cold host gets no more than its budget.
5. The ceiling is never exceeded.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, fields
from typing import Any, NamedTuple, TypeVar

from rainturn.interface_enums import Effect as Effect
from rainturn.interface_enums import Group as Group
from rainturn.interface_enums import HostState as HostState
from rainturn.interface_enums import ListKind as ListKind
from rainturn.interface_enums import Outcome as Outcome
from rainturn.interface_enums import RefusalReason as RefusalReason

T = TypeVar("T")


def _check(owner: str, name: str, value: Any, annotation: str) -> None:
    """Raise a ValueError naming the setting unless the value has the annotated type and range."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if annotation == "float" and not (is_number and math.isfinite(value) and value >= 0):
        raise ValueError(f"setting {owner}.{name}: expected a number of at least 0, got {value!r}")
    if annotation == "int" and not (is_number and value == int(value) and value >= 0):
        raise ValueError(f"setting {owner}.{name}: expected a whole number of at least 0, got {value!r}")
    if annotation == "bool" and not isinstance(value, bool):
        raise ValueError(f"setting {owner}.{name}: expected true or false, got {value!r}")
    if annotation == "str" and not isinstance(value, str):
        raise ValueError(f"setting {owner}.{name}: expected text, got {value!r}")
    if annotation.startswith("tuple") and not isinstance(value, tuple):
        raise ValueError(f"setting {owner}.{name}: expected a sequence, got {value!r}")
    if annotation in ("Effect", "Group", "Rules", "Limits") and type(value).__name__ != annotation:
        raise ValueError(f"setting {owner}.{name}: expected {annotation}, got {value!r}")


class _Validated:
    """Base class of the settings; checks every field against its annotation."""

    def __post_init__(self) -> None:
        for field in fields(self):  # type: ignore[arg-type]
            _check(type(self).__name__, field.name, getattr(self, field.name), str(field.type))


@dataclass(frozen=True)
class RequestClass(_Validated):
    """A class of requests. The decisions don't use `stream` and `aim_stretch`."""

    effect: Effect
    aim_ms: float  # target time from arrival to answer; an answer after it, before the deadline, is late
    deadline_ms: float  # longest time for all tries of the client together
    worth: float  # value of an answer in time; the plan's `price` multiplies it
    late_worth: float = 0.0  # fraction of the worth that a late answer earns; 0: late ones are not repeated
    group: Group = Group.ALL
    window_ms: float = 0.0  # how long hosts drop repeats, from the first attempt that may have run
    stream: bool = False  # whether answers are streams
    aim_stretch: float = 0.0


@dataclass(frozen=True)
class Plan(_Validated):
    """A plan, whose quota, ceiling and limit on open attempts apply to each customer separately.

    The decisions don't use `over_worth`.
    """

    price: float  # factor on the worth of a request
    rate: float  # quota, units/s; 0: none
    burst: float  # size of the quota's token bucket, units
    parallel: int = 0  # most open attempts; 0: no limit
    ceiling_rate: float = 0.0  # ceiling, units/s; 0: none
    ceiling_burst: float = 0.0  # size of the ceiling's token bucket, units
    ceiling_slack: float = 0.0  # units by which the ceiling may be exceeded
    over_worth: float = 0.0  # fraction of its worth that a request earns if sent on beyond the quota
    over_cost: float = 0.0  # fraction of its worth that a request then costs, whether served or not


@dataclass(frozen=True)
class Rules(_Validated):
    """Parameters of the rules on answers, draining hosts and cold hosts.

    In any span of `fall_ms` a cold host may get at most `fall_multiple` times the requests that match its
    present capacity. The decisions don't use `answer_grace_ms` and `ask_within_ms`.
    """

    answer_grace_ms: float
    drain_grace_ms: float  # time within which a gateway must stop sending to a host that drains
    fall_multiple: float
    fall_ms: float
    cold_share: float  # least fraction of its capacity with which a host starts
    warm_ms: float  # time from a host's start until it has its full capacity
    ask_within_ms: float = 10_000.0  # counts only where the host list has to be asked for


@dataclass(frozen=True)
class Limits(_Validated):
    """What the deployment permits. The decisions don't use `may_probe` and the two fields on backoff."""

    max_attempts: int  # for one request
    may_cancel: bool = False  # whether attempts may be cancelled
    may_duplicate: bool = False  # whether a request may have several open attempts
    may_probe: bool = False  # whether hosts may be probed
    connect_timeout_ms: float = 250.0
    honours_backoff: bool = False  # whether clients wait for the backoff that a refusal names
    max_backoff_ms: float = 0.0


@dataclass(frozen=True)
class Settings(_Validated):
    """Configuration of one gateway.

    The decisions don't use `tick_ms`, `zone`, `meter_ms`, `settles_later` and `load_fields`.
    """

    gateway: int  # number of this gateway, from 0
    gateways: int  # how many gateways there are
    zone: int  # number of this gateway's zone
    tick_ms: float
    classes: tuple[RequestClass, ...]  # by the number that `Arrived.request_class` gives
    plans: tuple[Plan, ...]  # by the number that `Arrived.plan` gives
    rules: Rules
    limits: Limits
    asks_for_list: bool = False  # whether the host list comes only after `WatchList`
    counter: bool = False  # whether the shared counter may be called
    counter_timeout_ms: float = 100.0
    meter_ms: float = 0.0
    settles_later: bool = False  # whether the units of a request are known only when it ends
    most_units: float = 0.0  # most units of one request; 0: no limit
    load_fields: tuple[str, ...] = ()  # names of the values in `AttemptEnded.load`, in their order
    sizes_told: bool = False  # whether `HostEntry.size` tells hosts apart; otherwise they count as equal


def build_settings(settings_type: type[T], values: dict[str, Any]) -> T:
    """Make settings of a type, ignoring unknown keys.

    Raises a ValueError that names a missing or invalid setting.
    """
    known = {field.name: field for field in fields(settings_type)}  # type: ignore[arg-type]
    try:
        return settings_type(**{key: value for key, value in values.items() if key in known})
    except TypeError as error:
        raise ValueError(f"setting {settings_type.__name__}: {error}") from None


class HostEntry(NamedTuple):
    """An entry of the host list."""

    host: int
    zone: int
    cell: int
    state: HostState
    size: float = 1.0  # capacity, relative to that of other hosts
    started: float = 0.0  # when the host started, by the clock of the list; 0: long ago
    sort_key: int = 0  # the same at all gateways, which may number hosts differently; 0: `host` is the same


class HostList(NamedTuple):
    """The host list or a change of it."""

    kind: ListKind
    entries: tuple[HostEntry, ...] = ()


class Arrived(NamedTuple):
    """A request has arrived."""

    request: int
    deadline: float  # when its answer is due
    customer: int
    plan: int  # index into `Settings.plans`; outside of it: the request has no plan
    request_class: int  # index into `Settings.classes`
    units: float = 1.0  # what it takes of the quota
    spread: float = 1.0  # how many gateways the customer's requests come through
    client_repeat: bool = False  # whether the client marks it as a repeat
    is_complete: bool = True  # otherwise its last value is still coming in, and `BodyComplete` follows


class BodyComplete(NamedTuple):
    """The last byte of a request has arrived; its time limit counts from now."""

    request: int
    deadline: float  # replaces that of `Arrived`


class StreamBegan(NamedTuple):
    """The first byte of a streamed answer has arrived; the request is bound to this attempt."""

    request: int
    attempt: int


class AnswerBegan(NamedTuple):
    """A part of the answer to an attempt has come: its host is not silent."""

    request: int
    attempt: int


class CommandTransfer(NamedTuple):
    """Tells whether the host of an attempt is still taking the command, so that its silence shows nothing."""

    request: int
    attempt: int
    is_under_way: bool  # False: the host has the whole command, or takes no more of it


class AttemptEnded(NamedTuple):
    """An attempt has ended."""

    request: int
    attempt: int  # number of the attempt, from 0 for the request's first
    host: int
    outcome: Outcome
    elapsed: float  # since its `Send`
    final: bool  # whether the client has its answer, or is gone, so that nothing more is owed
    quota_usage: float | None = None  # share of the quota that is in use; None: not known
    actual_units: float | None = None  # units that the request took; None: as `Arrived.units` says
    load: tuple[float, ...] = ()  # values that the host reports, by `Settings.load_fields`
    body_consumed: bool = False  # whether the request's body has been passed on and cannot be sent again
    answer_withdrawn: bool = False  # whether its answer had begun, and the client got nothing of it


class RequestGone(NamedTuple):
    """The client has left, or the request has ended for another reason."""

    request: int


class TimerFired(NamedTuple):
    """A timer set by `SetTimer` has expired."""

    token: int


class ProbeEnded(NamedTuple):
    """A probe has ended."""

    host: int
    outcome: Outcome
    elapsed: float
    load: tuple[float, ...] = ()  # values that the host reports, by `Settings.load_fields`


class PeerMessage(NamedTuple):
    """Bytes from another gateway."""

    sender: int
    body: bytes


class CountAnswered(NamedTuple):
    """A counter call has ended."""

    name: int
    outcome: Outcome
    total: float  # of the count, with the amount added; counts for `Outcome.OK` only
    elapsed: float


class InService(NamedTuple):
    """The operators put the gateway into service, or take it out so that clients go elsewhere."""

    on: bool


class ProcessOverlap(NamedTuple):
    """Another process of this same gateway begins to serve beside this one, or has ended."""

    on: bool
    is_older: bool = True  # whether this process is the older one, the predecessor


class ShuttingDown(NamedTuple):
    """This process ends as soon as the open requests are answered."""


Event = (
    HostList
    | Arrived
    | StreamBegan
    | AnswerBegan
    | CommandTransfer
    | AttemptEnded
    | RequestGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | CountAnswered
    | InService
    | ProcessOverlap
    | ShuttingDown
    | BodyComplete
)


class Send(NamedTuple):
    """Start an attempt."""

    request: int
    host: int
    timeout: float = 0.0  # 0: until the request's deadline
    start_within: float = math.inf  # an attempt that has not begun by then ends as `Outcome.NOT_SENT`


class Cancel(NamedTuple):
    """Cancel an attempt; its end is still reported."""

    request: int
    attempt: int


class Refuse(NamedTuple):
    """Answer a request with a refusal, which promises that trying again is harmless."""

    request: int
    backoff: float = 0.0  # how long the client should wait before it tries again; 0: not known
    harmless_until: float = math.inf  # from then on a failure is sent instead
    reason: RefusalReason = RefusalReason.UNSPECIFIED


class Fail(NamedTuple):
    """Answer a request with a failure, which doesn't promise that trying again is harmless."""

    request: int
    reason: RefusalReason = RefusalReason.UNSPECIFIED


class SetTimer(NamedTuple):
    """Request a `TimerFired`."""

    delay: float
    token: int


class Probe(NamedTuple):
    """Check a host."""

    host: int


class Count(NamedTuple):
    """Add to a count and get its total."""

    name: int
    amount: float
    ttl: float  # how long the count is kept; only a new name takes it


class WatchList(NamedTuple):
    """Open or close the subscription to the host list."""

    on: bool


class FetchList(NamedTuple):
    """Request the whole host list once."""


class Note(NamedTuple):
    """A line for the operators' log."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Count | WatchList | FetchList | Note
