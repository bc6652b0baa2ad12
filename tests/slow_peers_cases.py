"""The cases of `slow_peers.py`: what hosts do with requests, fixed and seeded random ones."""

from __future__ import annotations

import enum
import itertools
import random
from dataclasses import dataclass
from typing import Any

LONG_BYTES = 64 << 10  # a longer value is sent as it arrives
STEADY_MARGIN_S = 0.15  # of an answer that is expected to be whole in time
READ_AHEAD_FACTOR = 4  # systems give a socket twice the buffer that is asked for
HALF_ACCOUNT_BYTES = 1 << 20  # of a process with 32 MB


class Fault(enum.Enum):
    """What a host does with a request."""

    QUICK = "quick"  # answers at once
    LATE_BODY = "latebody"  # the head of the answer at once, the rest after a pause
    SLOW_BODY = "slowbody"  # pieces of the answer with a pause between two of them
    LATE_FIELDS = "latefields"  # the fields behind the value after a pause
    STUCK = "stuck"  # stops reading within the request
    SLOW_READ = "slowread"  # reads the request at a low rate, then answers


class Disturbance(enum.Enum):
    """What happens to the gateway while a case is played."""

    NONE = "undisturbed"
    SIGTERM = "SIGTERM"
    UPGRADE = "upgrade"  # another process takes over the listener, then SIGTERM
    OUT_OF_SERVICE = "out of service"


UPLOADS = (Fault.STUCK, Fault.SLOW_READ)


@dataclass(frozen=True)
class Case:
    """One case of the play: a fault, and the requests that meet it."""

    fault: Fault
    class_name: str
    length: int  # of the value, or of the body that is read slowly or not at all
    time_limit_s: float
    pause_ms: int = 0
    pieces: int = 1
    behind: int = 0  # quick requests that the client writes behind it at once
    clients: int = 1  # that meet the fault at the same time
    is_slow_client: bool = False
    may_finish: bool = True  # whether the host's answer is whole in time, or in steady progress
    memory_mb: int = 192
    buffer_bytes: int = (
        16 << 10
    )  # of hosts' sockets: with larger ones the system takes what a host has not read
    disturbance: Disturbance = Disturbance.NONE

    def name(self) -> str:
        """Return a short text that tells cases apart."""
        return (
            f"{self.fault.value} {self.class_name} {self.length} bytes, pause {self.pause_ms} ms, "
            f"{self.pieces} pieces, limit {self.time_limit_s} s, {self.behind} behind, "
            f"{self.clients} clients{', slow' if self.is_slow_client else ''}, {self.memory_mb} MB, "
            f"buffers {self.buffer_bytes}, {self.disturbance.value}"
        )


def all_cases() -> list[Case]:
    """Return the cases that the command line plays."""
    cases = []
    for class_name, behind in itertools.product(("read", "send", "pay"), (0, 3)):
        shared: dict[str, Any] = {"class_name": class_name, "behind": behind}
        cases += [
            Case(Fault.LATE_BODY, length=200_000, time_limit_s=1.7, pause_ms=1000, **shared),
            Case(Fault.LATE_BODY, length=40_000, time_limit_s=1.7, pause_ms=1000, **shared),
            Case(Fault.SLOW_BODY, length=40_000, time_limit_s=2.0, pause_ms=350, pieces=4, **shared),
            Case(Fault.SLOW_BODY, length=200_000, time_limit_s=2.0, pause_ms=350, pieces=4, **shared),
            Case(Fault.SLOW_BODY, length=200_000, time_limit_s=1.0, pause_ms=250, pieces=8, **shared),
            Case(Fault.SLOW_BODY, length=200_000, time_limit_s=1.0, pause_ms=50, pieces=40, **shared),
            Case(Fault.SLOW_BODY, length=40_000, time_limit_s=1.0, pause_ms=50, pieces=25, **shared),
            Case(
                Fault.SLOW_BODY,
                length=40_000,
                time_limit_s=1.0,
                pause_ms=50,
                pieces=40,
                may_finish=False,
                **shared,
            ),
            Case(Fault.LATE_FIELDS, length=200_000, time_limit_s=1.7, pause_ms=1000, **shared),
            Case(
                Fault.SLOW_BODY,
                length=600_000,
                time_limit_s=1.0,
                pause_ms=50,
                pieces=30,
                is_slow_client=True,
                **shared,
            ),
        ]
        if class_name != "read":
            cases += [
                Case(Fault.SLOW_READ, length=60_000, time_limit_s=2.0, pieces=50, **shared),
                Case(Fault.SLOW_READ, length=200_000, time_limit_s=4.0, pieces=90, **shared),
                Case(
                    Fault.SLOW_READ, length=800_000, time_limit_s=0.5, pieces=80, may_finish=False, **shared
                ),
                Case(Fault.STUCK, length=1_300_000, time_limit_s=0.7, may_finish=False, **shared),
                Case(Fault.STUCK, length=2_300_000, time_limit_s=0.7, may_finish=False, clients=6, **shared),
                Case(Fault.STUCK, length=50_000, time_limit_s=0.7, may_finish=False, **shared),
            ]
    return cases


def random_case(seed: int) -> Case:
    """Return the case of a seed."""
    rng = random.Random(seed)
    fault = rng.choice([fault for fault in Fault if fault is not Fault.QUICK])
    is_upload = fault in UPLOADS
    class_name = rng.choice(("send", "pay") if is_upload else ("read", "send", "pay"))
    length = int(10 ** rng.uniform(4.0, 6.3 if is_upload else 5.8))
    time_limit_s = round(rng.uniform(0.5, 2.5), 2)
    pause_ms = int(10 ** rng.uniform(1.5, 3.1))
    pieces = rng.choice((2, 3, 5, 10, 25))
    if fault is Fault.SLOW_READ:
        pieces = rng.choice((40, 80, 200))
    clients, behind = rng.choice((1, 1, 2, 4)), rng.choice((0, 0, 1, 4))
    memory_mb = rng.choice((32, 64, 192))
    disturbance = rng.choice((Disturbance.NONE, Disturbance.NONE, *Disturbance))
    buffer_bytes = rng.choice((8 << 10, 16 << 10, 64 << 10))
    may_finish = _is_expected_whole(fault, length, time_limit_s, pause_ms / 1000, pieces, behind)
    if fault is Fault.SLOW_READ and length < READ_AHEAD_FACTOR * buffer_bytes:
        may_finish = (
            False  # the host's machine takes nearly all at once: it cannot be told from a silent host
        )
    if memory_mb == 32 and clients * length > HALF_ACCOUNT_BYTES:
        may_finish = False  # the account may be full
    if behind and disturbance is not Disturbance.NONE and (pieces - 1) * pause_ms / 1000 > time_limit_s:
        may_finish = False  # no value is sent as it arrives that SIGKILL may break off
    return Case(
        fault,
        class_name,
        length,
        time_limit_s,
        pause_ms,
        pieces,
        behind,
        clients,
        rng.random() < 0.2,
        may_finish,
        memory_mb,
        buffer_bytes,
        disturbance,
    )


def _is_expected_whole(
    fault: Fault, length: int, time_limit_s: float, pause_s: float, pieces: int, behind: int
) -> bool:
    """Return whether the answer is whole in time, or is a long one in steady progress at the deadline."""
    in_time_s = time_limit_s - STEADY_MARGIN_S
    if fault is Fault.LATE_BODY:
        return pause_s <= in_time_s
    if fault is Fault.SLOW_BODY:
        is_long = length > LONG_BYTES
        return pause_s * (pieces - 1) <= in_time_s or (is_long and (not behind or pause_s <= in_time_s))
    if fault is Fault.SLOW_READ:
        return length / (pieces * 1000) <= 0.6 * time_limit_s
    return fault is Fault.LATE_FIELDS
