"""Running averages and tallies that the decisions read."""

from __future__ import annotations

import math
from typing import NamedTuple

ANSWER_TIME_GAIN = 0.03  # weight of a new answer's time
MAX_SAMPLE_SIZE = 20.0  # a pass share is the mean of at most this many decisions
MAX_WAIT = 2.0  # an answer's wait counts as at most this many target times: one costly request proves nothing


class AnswerTime:
    """Mean and mean deviation of the answer times of a class of requests, in ms."""

    __slots__ = ("mean", "deviation")

    def __init__(self, mean: float, deviation: float) -> None:
        self.mean = mean
        self.deviation = deviation

    def add(self, elapsed: float) -> None:
        """Add an answer time in ms."""
        error = elapsed - self.mean
        self.mean += ANSWER_TIME_GAIN * error
        self.deviation += ANSWER_TIME_GAIN * (abs(error) - self.deviation)


class PassShare:
    """The share of a plan's requests that pass their quotas."""

    __slots__ = ("share", "sample_size")

    def __init__(self, share: float, sample_size: float) -> None:
        self.share = share
        self.sample_size = sample_size  # number of decisions that the share is averaged over

    def add(self, admitted: bool) -> None:
        """Add a decision."""
        self.share += (admitted - self.share) / self.sample_size
        self.sample_size = min(MAX_SAMPLE_SIZE, self.sample_size + 1)


class DecayingAverage:
    """An average that decays towards 0 with time."""

    __slots__ = ("value", "at", "gain", "time_constant_ms")

    def __init__(self, gain: float, time_constant_ms: float) -> None:
        self.value = 0.0
        self.at = 0.0  # time up to which the value has decayed
        self.gain = gain
        self.time_constant_ms = time_constant_ms

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.value += self.gain * (sample - self.value)

    def decay(self, now: float) -> float:
        """Decay the value up to `now`, and return it."""
        self.value *= math.exp((self.at - now) / self.time_constant_ms)
        self.at = now
        return self.value


class Tally(NamedTuple):
    """Number of answers, how many of them were late or full, and the sum of their waits in target times."""

    total: int = 0
    bad: int = 0
    wait: float = 0.0


class AnswerTallies:
    """Tallies of answers by host."""

    def __init__(self) -> None:
        self.by_host: dict[int, list[float]] = {}

    def add(self, host: int, bad: bool, wait: float, is_counted: bool) -> None:
        """Record an answer of a host; if it is not counted, the host is only known to have answered."""
        tally = self.by_host.setdefault(host, [0, 0, 0.0])
        if is_counted:
            tally[0] += 1
            tally[1] += bad
            tally[2] += min(wait, MAX_WAIT)

    def sums(self) -> Tally:
        """Return the tally of all hosts together."""
        tallies = self.by_host.values()
        return Tally(
            int(sum(tally[0] for tally in tallies)),
            int(sum(tally[1] for tally in tallies)),
            sum(tally[2] for tally in tallies),
        )

    def worst(self) -> Tally:
        """Return the tally of the host with the largest sum of waits."""
        total, bad, wait = max(self.by_host.values(), key=lambda tally: tally[2], default=[0, 0, 0.0])
        return Tally(int(total), int(bad), wait)

    def clear(self) -> None:
        """Remove all tallies."""
        self.by_host.clear()
