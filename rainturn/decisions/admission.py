"""Admission by worth: tiers are filled from the top to a limit, and the boundary tier is admitted in part.

The paper: K. Hareesh Kumar and Somanath Majhi, "Queuing Theory Based Open Loop Control of Web Server".
"""

import math

from rainturn import interface as it
from rainturn.averages import AnswerTallies

PERIOD_MS = 500.0  # the paper's T: short against target times, so that refusals begin before answers are late
MAX_UTILIZATION = 0.9  # the paper's 0.6 is of a CPU; of measured departures, only queues need the rest
OVERLOAD_BAD_SHARE = 0.15  # share of late or full answers in an overload: well above a few costly requests
MIN_ANSWERS = 4  # fewer answers show nothing; they add up over periods until there are enough
MAX_QUEUE_SHARE = 0.4  # share of the target time that requests may take to depart; more means overload
FEW_ANSWERS = 10  # up to this many, a long mean wait means overload too: the share of late ones says little
MIN_CAPACITY_KEPT = 0.5  # least share kept in an overload: a pause in departures is not low capacity
CAPACITY_GROWTH_STEP = 0.03  # increase, per period, of the capacity's growth: an old estimate is trusted less
TIER_RATIO = 1.05  # worths within this ratio share a tier: small differences in worth are chance


class Tiers:
    """The open loop of the paper: estimate each tier's utilization every period and fill up to the limit."""

    def __init__(self, settings: it.Settings) -> None:
        self.max_worths: list[float] = []  # by tier
        for worth in sorted(
            {c.worth * p.price for c in settings.classes for p in settings.plans}, reverse=True
        ):
            if not self.max_worths or worth * TIER_RATIO < self.max_worths[-1]:
                self.max_worths.append(worth)
        count = max(1, len(self.max_worths))
        self.arrived, self.sent = [0.0] * count, 0.0  # in this period
        self.mean_arrivals = [0.0] * count  # per period, smoothed more where a period has few
        self.boundary, self.boundary_share = count, 1.0  # the boundary tier and its share to admit
        self.credit, self.budget = 0.5, 0.0  # of the boundary tier in this period
        self.overload_at, self.growth = -math.inf, 0.0
        self.served, self.periods, self.mean_served = 0, 0, 0.0  # served: in this period, and mean per period
        shortest_ms = min((c.aim_ms for c in settings.classes), default=0.0)
        self.max_queue_periods = MAX_QUEUE_SHARE * shortest_ms / PERIOD_MS
        self.capacity = 0.0  # departures per period at the last overload, growing since; 0: none recent
        self.answers = AnswerTallies()

    def tier_of(self, worth: float) -> int:
        """Return the tier of a worth; tiers are numbered from the top."""
        for tier, max_worth in enumerate(self.max_worths):
            if worth * TIER_RATIO >= max_worth:
                return tier
        return len(self.arrived) - 1

    def record_answer(self, host: int, sent_at: float, served: bool, bad: bool, wait: float) -> None:
        """Count an answer that took `wait` target times and, if `bad`, was late or full.

        Attempts sent before the last overload are no evidence of another: otherwise a backlog would lead to
        the refusal of all requests.
        """
        self.served += served
        self.answers.add(host, bad, wait, is_counted=sent_at >= self.overload_at)

    def admit(self, tier: int, pass_chance: float = 1.0) -> bool:
        """Decide on an arrival; fractions of the boundary budget carry over, as a gateway gets few requests.

        `pass_chance` is the chance that the request's quota admits it.
        """
        self.arrived[tier] += pass_chance
        if tier >= self.boundary:
            self.credit += self.boundary_share if tier == self.boundary else 0.0
            self.credit = min(self.credit, self.budget + 1.0)  # a surge within the period spends no more
            if tier > self.boundary or self.credit < 1.0:
                return False
            self.credit -= 1.0
            self.budget -= pass_chance
        self.sent += pass_chance
        return True

    def end_period(self, now: float, open_attempts: int, overdue: int = 0) -> None:
        """End a period: detect an overload of more than one host, then set the next period's budget."""
        served, self.served = self.served, 0
        worst, (total, bad, wait) = self.answers.worst(), self.answers.sums()
        # Requests that are unanswered after half of their target time count as late.
        total, wait = total + overdue, wait + overdue
        self.periods += 1
        self.mean_served += max(0.3, 1 / self.periods) * (served - self.mean_served)
        expected_queue = max(self.mean_served, served) * self.max_queue_periods
        backlog = open_attempts - expected_queue - 2 * math.sqrt(expected_queue)  # a few gather by chance
        others = total - worst.total
        many_bad = bad - worst.bad >= OVERLOAD_BAD_SHARE * others
        long_wait = total <= FEW_ANSWERS and wait - worst.wait >= MAX_QUEUE_SHARE * others
        late = total >= MIN_ANSWERS and others > 0 and (many_bad or long_wait)
        if late or (backlog > 0 and open_attempts >= 2 * MIN_ANSWERS and self.periods > 1):
            self.capacity = max(0.01, self.mean_served, MIN_CAPACITY_KEPT * (self.capacity or self.sent))
            self.overload_at, self.growth = now, 0.0
        elif self.capacity:
            # Capacity rises by the share of requests that were answered since, and faster with quick answers.
            evidence = (total - overdue) / (total - overdue + open_attempts) if open_attempts else 1.0
            evidence *= max(0.0, 3 - 3 * wait / (MAX_QUEUE_SHARE * total)) if total else 1.0
            self.growth += CAPACITY_GROWTH_STEP
            self.capacity *= 1 + evidence * self.growth
        if total >= MIN_ANSWERS or now == self.overload_at:
            self.answers.clear()
        self._set_boundary(max(0.0, open_attempts - self.capacity * self.max_queue_periods))
        self.sent, self.arrived = 0.0, [0.0] * len(self.arrived)

    def _set_boundary(self, backlog: float) -> None:
        """Fill tiers from the top: rho_new = lambda_new x rho_prev / lambda_prev, the paper's equation 5.

        The backlog of requests that wait too long at hosts takes capacity first: it departs before new ones.
        """
        trust = min(1.0, sum(self.arrived) / (2 * MIN_ANSWERS))  # few arrivals say little of each tier's rate
        for tier, arrivals in enumerate(self.arrived):
            self.mean_arrivals[tier] += max(0.1, trust) * (arrivals - self.mean_arrivals[tier])
        self.boundary, self.boundary_share = len(self.mean_arrivals), 1.0
        if not self.capacity:
            return
        used = backlog / self.capacity
        for tier, arrivals in enumerate(self.mean_arrivals):
            rho = arrivals / self.capacity  # rho_prev / lambda_prev: one request's share of the capacity
            if used + rho > MAX_UTILIZATION:
                self.boundary, self.boundary_share = tier, max(0.0, MAX_UTILIZATION - used) / max(rho, 0.01)
                self.budget = max(0.0, MAX_UTILIZATION - used) * self.capacity
                return
            used += rho
        if used < 0.7 * MAX_UTILIZATION:
            self.capacity = 0.0  # far from limiting anything: the estimate has expired
