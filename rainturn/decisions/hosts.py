"""Host selection: which host an attempt goes to, and what the ends of attempts show about each host."""

import math

from rainturn import interface as it
from rainturn.component import Component, SharedState
from rainturn.decisions.admission import Tiers
from rainturn.host_index import HostIndex
from rainturn.interface import Outcome
from rainturn.records import Attempt, Host, PendingRequest

COLD_BUDGET_SHARE = 1 / 3  # part used of a cold host's budget: costs and traffic vary, and it is soon spent
SUSPECT_FAILURES = 2  # failures in a row, without an answer between them, that make a host suspect
RESET_THRESHOLD = 6  # resets in a row that count as a failure: a path may break healthy connections by chance
TRIAL_INTERVAL_MS = 500.0  # of all gateways' trials of a suspect host together; each may delay a request
MAX_TRIAL_GATEWAYS = 40  # with more, each one's trials would be too rare to notice that a host has recovered
COLD_AFTER_SPANS = 4.0  # multiple of `fall_ms` spent failing after which a host may have restarted
CANDIDATES = 12  # hosts considered for a request, nearest first, and as many others if all have work
SLOWNESS_STEP = 1.4  # hosts whose slowness differs by less are ranked alike: single answers vary by more
SLOWEST = 10.0  # limit; an error counts as this: it costs a request, and quick errors would draw traffic
FULL_SLOWNESS = 4.0  # slowness that an answer of a full host counts as
LATENCY_GAIN = 0.1  # weight of a new answer's time


class HostSelector(Component):
    """Chooses hosts for attempts and tracks how healthy hosts are."""

    def __init__(self, shared: SharedState, tiers: Tiers) -> None:
        super().__init__(shared)
        self.tiers = tiers
        self.rules = self.settings.rules
        self.index = HostIndex(self.settings, self.warmth, self._cold_share)
        self.trial_ms = TRIAL_INTERVAL_MS * min(self.settings.gateways, MAX_TRIAL_GATEWAYS)
        self.evidence_since = -math.inf  # outcomes of what was sent before this are ignored

    def open_attempts(self) -> int:
        """Return the number of attempts that are load at hosts that are not suspect."""
        return sum(h.open_attempts for h in self.index.loaded() if h.failures < SUSPECT_FAILURES)

    def skipped_count(self) -> int:
        """Return how many listed hosts get no ordinary traffic because they drain or are suspect."""
        return sum(not host.is_ready or host.failures >= SUSPECT_FAILURES for host in self.index.listed())

    def warmth(self, now: float, host: Host) -> float:
        """Return the part of its capacity, up to 1, that a host has at least, judged by its age."""
        age = now - host.started if host.started > 0 else math.inf
        if age >= self.rules.warm_ms:
            return 1.0
        cold_share = self.rules.cold_share
        return cold_share + (1 - cold_share) * max(0.0, age) / max(1.0, self.rules.warm_ms)

    def choose(self, now: float, request: PendingRequest) -> Host | None:
        """Return the best of some warm hosts, or a cold host if the request's draw selects one.

        Suspect hosts get trial requests, and ordinary ones only if no other host is left.
        """
        first_run = request.first_run()
        tried = {attempt.host.id for attempt in request.attempts}
        cold = self._draw_cold_host(request) if self.index.cold.interval_of else None
        if cold is not None and cold.id not in tried and self._may_take(request, first_run, cold):
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
            is_suspect = host.failures >= SUSPECT_FAILURES
            if not self._may_take(request, first_run, host):
                continue
            if is_suspect and may_try and not host.open_attempts and now - host.tried_at >= self.trial_ms:
                return host  # only a trial shows that it has recovered; its score would exclude it forever
            rank = (2 * (host.id in tried) + is_suspect, self._score(now, host, usual_ms))
            if rank < best:
                best, choice = rank, host
        return choice

    def _draw_cold_host(self, request: PendingRequest) -> Host | None:
        """Return the cold host that the request's draw selects; all gateways together keep to rule 4."""
        host = self.index.cold.host_at(request.cold_draw * self.index.fleet_size, self.index.mean_size)
        return host if host is not None and host.failures < SUSPECT_FAILURES else None

    def _cold_share(self, host: Host, warmth: float, mean_size: float) -> float:
        """Return the part of an even share that a cold host may get: rule 4's multiple, less a margin.

        It is proportional to the host's warmth, and smaller for a host smaller than the mean.
        """
        part = min(1.0, host.size / mean_size) if mean_size else 1.0
        return COLD_BUDGET_SHARE * self.rules.fall_multiple * warmth * part

    def _may_take(self, request: PendingRequest, first_run: Attempt | None, host: Host) -> bool:
        """Return whether rule 2 allows a host: a keyed request stays where its repeats are dropped."""
        request_class = request.request_class
        if (
            first_run is None
            or request_class.effect is not it.Effect.KEYED
            or request_class.group is it.Group.ALL
        ):
            return True
        is_near = request_class.group is it.Group.ZONE or host.cell == first_run.host.cell
        return is_near and host.zone == first_run.host.zone

    def _score(self, now: float, host: Host, usual_ms: float) -> float:
        """Return the expected relative delay: own load times slowness, where silence counts as slowness."""
        slowness = host.slowness(now)
        if host.open_attempts:
            slowness = max(slowness, (now - host.waiting_since) / max(1.0, 2 * usual_ms))
        steps = round(math.log(max(slowness, 0.1)) / math.log(SLOWNESS_STEP))
        return SLOWNESS_STEP**steps * (host.open_attempts + 1)

    def max_silence_ms(self, request: PendingRequest, host: Host) -> float:
        """Return how long a host may be silent: long, but another attempt should still meet the target."""
        usual = self.answer_times[request.class_index]
        # A host that rarely gets work rarely answers: its silence shows little.
        longest = usual.mean + (4 if host.failures else 8) * usual.deviation
        return longest * (1.5 if self.tiers.capacity else 1.0)

    def record(self, now: float, event: it.AttemptEnded, host: Host, request: PendingRequest | None) -> None:
        """Update a host's health and the tiers by an attempt's end; `request` is None if it is not open."""
        outcome, sent_at = event.outcome, now - event.elapsed
        if sent_at < self.evidence_since or (outcome is Outcome.OK and request is None):
            host.failures = 0 if outcome is Outcome.OK else host.failures
            host.last_answer_at = now
        elif outcome is Outcome.OK and request is not None:
            usual, target_ms = self.answer_times[request.class_index], max(1.0, request.request_class.aim_ms)
            self.record_answer(now, host, event.elapsed / max(1.0, usual.mean))
            usual.add(event.elapsed)
            is_late = now - request.arrived_at > target_ms
            self.tiers.record_answer(host.id, sent_at, True, is_late, event.elapsed / target_ms)
        elif outcome in (Outcome.FULL, Outcome.ERROR):
            self.record_answer(now, host, FULL_SLOWNESS if outcome is Outcome.FULL else SLOWEST)
        elif outcome is Outcome.RESET:
            self._record_reset(now, host)
        elif outcome in (Outcome.TIMEOUT, Outcome.UNREACHABLE):
            self.record_failure(now, host)
        if outcome in (Outcome.FULL, Outcome.TIMEOUT) and sent_at >= self.evidence_since:
            self.tiers.record_answer(host.id, sent_at, False, True, 0.0)
        if not host.open_attempts:
            host.waiting_since = now

    def record_answer(self, now: float, host: Host, ratio: float) -> None:
        """Record an answer that took `ratio` times the usual; after a long failure the host may be cold."""
        if host.failures >= SUSPECT_FAILURES:
            host.latency_ratio = 1.0  # what made it suspect is over: the old failures would keep work away
            if now - host.failing_since > COLD_AFTER_SPANS * self.rules.fall_ms:
                self.index.mark_restarted(now, host)
        host.failures = host.resets = 0
        host.last_answer_at = host.waiting_since = now
        slowness = host.slowness(now)
        host.latency_ratio, host.latency_at = slowness + LATENCY_GAIN * (min(ratio, SLOWEST) - slowness), now

    def record_failure(self, now: float, host: Host) -> None:
        """Record an attempt without an answer, after which the host counts as twice as slow."""
        host.failing_since = host.failing_since if host.failures else now
        host.failures += 1
        host.latency_ratio, host.latency_at = min(SLOWEST, max(host.latency_ratio, 1.0) * 2), now

    def _record_reset(self, now: float, host: Host) -> None:
        """Record a broken connection, which shows little: a host that has died refuses the next connect.

        If each one counted as a failure, a network path that breaks connections would make most hosts suspect
        and overload the rest. The cost is that a host that breaks every connection is left alone only after
        `RESET_THRESHOLD` requests.
        """
        host.resets += 1
        if host.resets >= RESET_THRESHOLD:
            self.record_failure(now, host)
