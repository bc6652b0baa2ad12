"""Commands that the scale run gives to the roles of its processes, and their answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from rainturn.emulator.traffic import Traffic


@dataclass(frozen=True)
class Read:
    """Ask for a role's reading."""


@dataclass(frozen=True)
class ServiceReading:
    """A stand-in's processor time since its start, in s, and what passed at each of its addresses."""

    cpu_s: float
    traffic: dict[str, Traffic]
    held: int  # hosts in the list, or names that the counter holds


# Discovery.


@dataclass(frozen=True)
class Listen:
    """Listen on one more address; the answer is that address."""

    label: str


@dataclass(frozen=True)
class SetList:
    """Begin anew with so many hosts at these addresses."""

    hosts: int
    dials: tuple[str, ...]


@dataclass(frozen=True)
class ChangeHosts:
    """Change single hosts, `count` times, each once `watchers` callers have the change before it.

    With `every_s` each comes so long after the one before instead, whoever has that.
    """

    count: int
    watchers: int = 0
    interval_s: float = 0.0


@dataclass(frozen=True)
class ChangeZone:
    """A zone of a part of all hosts is lost, or returns cold: as one version, or a version a host.

    These come each once `watchers` callers have the one before, or evenly over `over_s`.
    """

    fraction: float
    lost: bool
    as_one_version: bool = True
    watchers: int = 0
    duration_s: float = 0.0


@dataclass(frozen=True)
class SetAnswerTime:
    """Take so long for each answer, one after another; 0: none."""

    answer_ms: float


@dataclass(frozen=True)
class ListChange:
    """The version after a change, how many versions it took, and the monotonic time of the first, in s."""

    version: int
    versions: int
    started_at: float


# Hollow gateways and clients.


@dataclass(frozen=True)
class Join:
    """Start gateways; `Joined` comes once all have a host list, or after `timeout_s`."""

    numbers: tuple[int, ...]
    timeout_s: float = 60.0


@dataclass(frozen=True)
class Joined:
    """How long gateways took until all had a list, the processor time for it, in s, and how many got none."""

    took_s: float
    cpu_s: float
    without_list: int = 0


@dataclass(frozen=True)
class WatchStalls:
    """Begin to watch for stalls, or end that: the answer is then the longest, as `Stalls`."""

    on: bool


@dataclass(frozen=True)
class Leave:
    """End gateways."""

    numbers: tuple[int, ...]


@dataclass(frozen=True)
class AwaitVersion:
    """Wait until all gateways have a version of the list; the answer holds the time for each, in s."""

    version: int
    since: float  # monotonic, s
    timeout_s: float


@dataclass(frozen=True)
class StartLoad:
    """Begin to draw the fleet's requests; dry: draw and make them, and give them to no gateway."""

    requests_per_second: float
    tenants: int
    gateways: int
    seed: int
    dry: bool = False


@dataclass(frozen=True)
class StopLoad:
    """Draw no more."""


@dataclass(frozen=True)
class HollowReading:
    """A hollow process: processor time since its start, in s, its requests and how they ended."""

    cpu_s: float
    requests: int
    outcome_counts: dict[str, int]
    peak_mb: float  # most memory that the process has held at once, in MB (2^20 bytes)


@dataclass(frozen=True)
class AwaitReady:
    """Wait until gateways at these addresses say that clients may come; the answer is whether all do."""

    addresses: dict[int, tuple[str, int]] = field(default_factory=dict)
    timeout_s: float = 30.0


@dataclass(frozen=True)
class ClientReading:
    """What clients of real gateways saw: added time in ms over all, and the endings."""

    requests: int
    outcome_counts: dict[str, int]
    added_p50_ms: float
    added_p99_ms: float
    added_max_ms: float
