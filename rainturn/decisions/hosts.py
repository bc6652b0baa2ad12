"""Hosts: which one an attempt goes to, and what the ends of attempts say of their health."""

import math

from rainturn import interface as it
from rainturn.component import Component, Shared
from rainturn.decisions.admission import Tiers
from rainturn.host_index import HostIndex
from rainturn.interface import Outcome
from rainturn.records import Attempt, Host, PendingRequest

COLD_MARGIN = 1 / 3  # part of the cold budget used: costs and traffic vary, and a window is soon spent
SUSPECT_FAILURES = 2  # failures in a row, no answer between, that make a host suspect
RESETS = (
    6  # connections broken in a row that count as a failure: a path may cut those of well hosts by chance
)
TRIAL_MS = 500.0  # a suspect host is tried this often by all gateways: costs some requests a wait
TRIAL_GATEWAYS = 40  # beyond this many each one's trials would be too rare to find a host well again
COLD_AFTER = 4.0  # silence in spans of the fall rule after which a host may have restarted
CANDIDATES = 12  # hosts looked at for a request, nearest first, and as many others where all have work
SLOW_STEP = 1.4  # hosts whose slowness differs by less than this are alike: single answers vary by more
SLOWEST = 10.0  # an error counts as so slow: it costs a request, and quick ones would draw the traffic here
FULL_SLOWNESS = 4.0
LATENCY_GAIN = 0.1  # weight of a new answer's time


class Hosts(Component):
    """Chooses hosts and learns of them."""

    def __init__(self, shared: Shared, tiers: Tiers) -> None:
        super().__init__(shared)
        self.tiers = tiers
        self.rules = self.settings.rules
        self.index = HostIndex(self.settings, self.warmth, self._cold_share)
        self.trial_ms = TRIAL_MS * min(self.settings.gateways, TRIAL_GATEWAYS)
        self.evidence_since = -math.inf  # what was sent before this is no evidence

    def open_attempts(self) -> int:
        """Attempts out at hosts that are not suspect."""
        return sum(h.open_attempts for h in self.index.loaded() if h.failures < SUSPECT_FAILURES)

    def skipped(self) -> int:
        """How many listed hosts get no ordinary traffic: they drain, or are suspect."""
        return sum(not host.ready or host.failures >= SUSPECT_FAILURES for host in self.index.listed())

    def warmth(self, now: float, host: Host) -> float:
        """Share of its capacity that a host has at least, by its age."""
        age = now - host.started if host.started > 0 else math.inf
        if age >= self.rules.warm_ms:
            return 1.0
        cold_share = self.rules.cold_share
        return cold_share + (1 - cold_share) * max(0.0, age) / max(1.0, self.rules.warm_ms)

    def choose(self, now: float, request: PendingRequest) -> Host | None:
        """The best of some warm hosts, or a cold one's turn. Suspects get trials, and all if none is left."""
        anchor = request.anchor()
        tried = {attempt.host.id for attempt in request.attempts}
        cold = self._cold_turn(request) if self.index.cold.place_of else None
        if cold is not None and cold.id not in tried and self._may_take(request, anchor, cold):
            return cold
        usual_ms = self.answer_times[request.class_index].mean
        may_try = not request.attempts and request.request_class.effect is it.Effect.SAFE
        warm, start = self.index.warm, self.index.start
        count = len(warm)
        best, choice, skip = (4, 0.0), None, 0
        for step in range(count):
            if step >= CANDIDATES and best[0] == 0:
                if step >= 2 * CANDIDATES or (choice is not None and not choice.open_attempts):
                    break
                skip = skip or self.rng.randrange(1, count)
            host = warm[(start + step + skip) % count]
            suspect = host.failures >= SUSPECT_FAILURES
            if not self._may_take(request, anchor, host):
                continue
            if suspect and may_try and not host.open_attempts and now - host.tried_at >= self.trial_ms:
                return host  # found well again only by trying it: by a low score it would starve for good
            rank = (2 * (host.id in tried) + suspect, self._score(now, host, usual_ms))
            if rank < best:
                best, choice = rank, host
        return choice

    def _cold_turn(self, request: PendingRequest) -> Host | None:
        """The cold host whose turn this request's draw is: rule 4 for any number of gateways together."""
        host = self.index.cold.at(request.draw * self.index.fleet, self.index.mean_size)
        return host if host is not None and host.failures < SUSPECT_FAILURES else None

    def _cold_share(self, host: Host, warmth: float, mean_size: float) -> float:
        """What a cold host may get of an even share: its present part, times the rule's multiple with margin.

        A host that is smaller than others gets so much less.
        """
        part = min(1.0, host.size / mean_size) if mean_size else 1.0
        return COLD_MARGIN * self.rules.fall_multiple * warmth * part

    def _may_take(self, request: PendingRequest, anchor: Attempt | None, host: Host) -> bool:
        """Rule 2: a keyed request that may have run stays where its repeats are dropped."""
        klass = request.request_class
        if anchor is None or klass.effect is not it.Effect.KEYED or klass.group is it.Group.ALL:
            return True
        near = klass.group is it.Group.ZONE or host.cell == anchor.host.cell
        return near and host.zone == anchor.host.zone

    def _score(self, now: float, host: Host, usual_ms: float) -> float:
        """Expected delay: own work out there over its speed, where silence counts as slowness."""
        slowness = host.slowness(now)
        if host.open_attempts:
            slowness = max(slowness, (now - host.waiting_since) / max(1.0, 2 * usual_ms))
        steps = round(math.log(max(slowness, 0.1)) / math.log(SLOW_STEP))
        return SLOW_STEP**steps * (host.open_attempts + 1)

    def patience_ms(self, request: PendingRequest, host: Host) -> float:
        """How long a host may be silent: long, but so that another attempt could still meet the target."""
        usual = self.answer_times[request.class_index]
        # A host that rarely gets work is rarely heard.
        longest = usual.mean + (4 if host.failures else 8) * usual.deviation
        return longest * (1.5 if self.tiers.capacity else 1.0)

    def learn(self, now: float, event: it.AttemptEnded, host: Host, request: PendingRequest | None) -> None:
        """What an attempt's end says of its host and of the back end; `request`: if it is open."""
        outcome, sent_at = event.outcome, now - event.elapsed
        if sent_at < self.evidence_since or (outcome is Outcome.OK and request is None):
            host.failures = 0 if outcome is Outcome.OK else host.failures
            host.heard_at = now
        elif outcome is Outcome.OK and request is not None:
            usual, target_ms = self.answer_times[request.class_index], max(1.0, request.request_class.aim_ms)
            self.answered(now, host, event.elapsed / max(1.0, usual.mean))
            usual.add(event.elapsed)
            late = now - request.arrived_at > target_ms
            self.tiers.record_answer(host.id, sent_at, True, late, event.elapsed / target_ms)
        elif outcome in (Outcome.FULL, Outcome.ERROR):
            self.answered(now, host, FULL_SLOWNESS if outcome is Outcome.FULL else SLOWEST)
        elif outcome is Outcome.RESET:
            self._reset(now, host)
        elif outcome in (Outcome.TIMEOUT, Outcome.UNREACHABLE):
            self.failed(now, host)
        if outcome in (Outcome.FULL, Outcome.TIMEOUT) and sent_at >= self.evidence_since:
            self.tiers.record_answer(host.id, sent_at, False, True, 0.0)
        if not host.open_attempts:
            host.waiting_since = now

    def answered(self, now: float, host: Host, ratio: float) -> None:
        """Learn from an answer's time against the usual. After long silence the host may be cold again."""
        if host.failures >= SUSPECT_FAILURES:
            host.latency = 1.0  # what made it suspect is over: old failures would starve a well host
            if now - host.failing_since > COLD_AFTER * self.rules.fall_ms:
                self.index.restarted(now, host)
        host.failures = host.resets = 0
        host.heard_at = host.waiting_since = now
        slowness = host.slowness(now)
        host.latency, host.latency_at = slowness + LATENCY_GAIN * (min(ratio, SLOWEST) - slowness), now

    def failed(self, now: float, host: Host) -> None:
        """Learn from an attempt without an answer."""
        host.failing_since = host.failing_since if host.failures else now
        host.failures += 1
        host.latency, host.latency_at = min(SLOWEST, max(host.latency, 1.0) * 2), now

    def _reset(self, now: float, host: Host) -> None:
        """A broken connection says little of the host: one that died refuses the next connect.

        Guards against a path that cuts connections making most hosts suspect and burying the rest in work.
        Harm: a host that breaks every connection is left alone only after `RESETS` requests.
        """
        host.resets += 1
        if host.resets >= RESETS:
            self.failed(now, host)
