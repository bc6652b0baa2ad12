"""Running averages and tallies that the decisions read."""

from __future__ import annotations

import math
from typing import NamedTuple

ANSWER_TIME_GAIN = 0.03  # weight of a new answer's time
LARGEST_SAMPLE = 20.0  # a pass share is the mean of so many decisions at most
LONGEST_WAIT = 2.0  # an answer's wait counts as this many target times at most: a costly request is no sign


class AnswerTime:
    """Mean and mean deviation of the answer times of a class of requests, ms."""

    __slots__ = ("mean", "deviation")

    def __init__(self, mean: float, deviation: float) -> None:
        self.mean = mean
        self.deviation = deviation

    def add(self, elapsed: float) -> None:
        """Learn from an answer."""
        error = elapsed - self.mean
        self.mean += ANSWER_TIME_GAIN * error
        self.deviation += ANSWER_TIME_GAIN * (abs(error) - self.deviation)


class PassShare:
    """The share of a plan's requests that pass their quotas."""

    __slots__ = ("share", "sample")

    def __init__(self, share: float, sample: float) -> None:
        self.share = share
        self.sample = sample  # how many decisions the share is made of

    def add(self, admitted: bool) -> None:
        """Learn from a decision."""
        self.share += (admitted - self.share) / self.sample
        self.sample = min(LARGEST_SAMPLE, self.sample + 1)


class FadingAverage:
    """An average that falls towards 0 with time."""

    __slots__ = ("value", "at", "gain", "memory_ms")

    def __init__(self, gain: float, memory_ms: float) -> None:
        self.value = 0.0
        self.at = 0.0  # until when it has faded
        self.gain = gain
        self.memory_ms = memory_ms

    def add(self, sample: float) -> None:
        """Learn from a sample."""
        self.value += self.gain * (sample - self.value)

    def fade(self, now: float) -> float:
        """The value by now."""
        self.value *= math.exp((self.at - now) / self.memory_ms)
        self.at = now
        return self.value


class Tally(NamedTuple):
    """Answers, those among them that were late or full, and the sum of their times against the targets."""

    total: int = 0
    bad: int = 0
    wait: float = 0.0


class AnswerTallies:
    """Tallies of answers by host."""

    def __init__(self) -> None:
        self.by_host: dict[int, list[float]] = {}

    def add(self, host: int, bad: bool, wait: float, counts: bool) -> None:
        """Count an answer of a host; where it does not count the host is only known to have answered."""
        tally = self.by_host.setdefault(host, [0, 0, 0.0])
        if counts:
            tally[0] += 1
            tally[1] += bad
            tally[2] += min(wait, LONGEST_WAIT)

    def sums(self) -> Tally:
        """All hosts together."""
        tallies = self.by_host.values()
        return Tally(
            int(sum(tally[0] for tally in tallies)),
            int(sum(tally[1] for tally in tallies)),
            sum(tally[2] for tally in tallies),
        )

    def worst(self) -> Tally:
        """The host with the longest waits."""
        total, bad, wait = max(self.by_host.values(), key=lambda tally: tally[2], default=[0, 0, 0.0])
        return Tally(int(total), int(bad), wait)

    def clear(self) -> None:
        """Begin anew."""
        self.by_host.clear()
