"""Commands that a scale run sends to the roles of its processes, and the answers to them."""

from __future__ import annotations

from dataclasses import dataclass, field

from rainturn.emulator.traffic import Traffic


@dataclass(frozen=True)
class GetReading:
    """Return what a role has measured; the answer is the reading of its kind, defined below."""


@dataclass(frozen=True)
class ServiceReading:
    """A stand-in's processor time since its start, in s, and the traffic at each of its addresses."""

    cpu_s: float
    traffic: dict[str, Traffic]


# Discovery.


@dataclass(frozen=True)
class Listen:
    """Listen on one more address, whose traffic counts under `label`; the answer is the address."""

    label: str


@dataclass(frozen=True)
class ReplaceHostList:
    """Replace the host list with one of `hosts` hosts at these addresses; the answer is its version."""

    hosts: int
    addresses: tuple[str, ...]


@dataclass(frozen=True)
class ChangeHosts:
    """Change one host at a time, `count` times; the answer is a `ListChange`.

    Each change follows once `watchers` callers have the change before it. If `watchers` is 0, the changes
    follow each other at `interval_s`, whether callers have them or not.
    """

    count: int
    watchers: int = 0
    interval_s: float = 0.0


@dataclass(frozen=True)
class ChangeZone:
    """Terminate a zone, a fraction of all hosts, or let it return cold; the answer is a `ListChange`.

    The change is one version, or one version for each host. In the second case each version follows once
    `watchers` callers have the one before it; if `watchers` is 0, the versions are spread evenly over
    `duration_s`.
    """

    fraction: float
    lost: bool
    as_one_version: bool = True
    watchers: int = 0
    duration_s: float = 0.0


@dataclass(frozen=True)
class SetAnswerTime:
    """Answer calls one after another, each after `answer_ms`; 0 means at once."""

    answer_ms: float


@dataclass(frozen=True)
class ListChange:
    """The version after a change, the number of its versions, and the monotonic time of its start, in s."""

    version: int
    versions: int
    started_at: float


# Hollow gateways and clients.


@dataclass(frozen=True)
class StartGateways:
    """Start gateways; `GatewaysStarted` is the answer once all have a host list, or after `timeout_s`."""

    numbers: tuple[int, ...]
    timeout_s: float = 60.0


@dataclass(frozen=True)
class GatewaysStarted:
    """Time until all gateways had a list, processor time for that, both in s, and how many got no list."""

    took_s: float
    cpu_s: float
    without_list: int = 0


@dataclass(frozen=True)
class WatchStalls:
    """Start to watch for stalls, or stop; the answer to a stop is `Stalls`."""

    on: bool


@dataclass(frozen=True)
class StopGateways:
    """Stop gateways."""

    numbers: tuple[int, ...]


@dataclass(frozen=True)
class AwaitVersion:
    """Wait until all gateways have a version of the list.

    The answer holds the time since `since` for each gateway that got it within `timeout_s`, in s.
    """

    version: int
    since: float  # monotonic, s
    timeout_s: float


@dataclass(frozen=True)
class StartLoad:
    """Start to draw the fleet's requests. A dry run draws and builds them but passes them to no gateway."""

    requests_per_second: float
    tenants: int
    gateways: int
    seed: int
    dry_run: bool = False


@dataclass(frozen=True)
class StopLoad:
    """Stop drawing requests."""


@dataclass(frozen=True)
class HollowReading:
    """A hollow process: its processor time since its start, in s, its requests, and their outcomes."""

    cpu_s: float
    requests: int
    outcome_counts: dict[str, int]
    peak_mb: float  # the most memory that the process has held at once, in MB (2^20 bytes)


@dataclass(frozen=True)
class TargetGateways:
    """Direct the clients' later requests to the gateways at these addresses.

    The answer comes once all of them are ready for clients, or after `timeout_s`, and is whether all are.
    """

    addresses: dict[int, tuple[str, int]] = field(default_factory=dict)
    timeout_s: float = 30.0


@dataclass(frozen=True)
class ClientReading:
    """What the clients of real gateways saw.

    `requests` counts their requests since the start. The outcomes and the added time, in ms, are those since
    the last reading.
    """

    requests: int
    outcome_counts: dict[str, int]
    added_p50_ms: float
    added_p99_ms: float
    added_max_ms: float
