"""Index of the listed hosts: all by number and in ring order, and the ready ones split into cold and warm.

All gateways order the hosts on one ring in the same way. Each gateway begins at its own position, at an even
distance from the others, so that each host is near to few gateways. These gateways reuse their connections to
it, often get answers from it, and their own attempts make up most of its load. This module decides nothing.

A change of one host costs O(log n) comparisons and one shift of a list of references. The cost of a period
grows with the number of cold hosts and of hosts used since the last period.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable

from rainturn import interface as it
from rainturn.cold_hosts import ColdHosts
from rainturn.host_ages import HostAges
from rainturn.records import Host, WarmupState

RING_STRIDE = 0.618  # golden ratio: with steps of this part of the ring, neighbours lie far apart
FLEET_DECAY = 0.99  # per period, of the number of hosts that recently carried the traffic
BULK_DIVISOR = 16  # changes of more than one host in this many are cheaper as one sort than one by one


def ring_position(settings: it.Settings) -> int:
    """Return this gateway's position on the ring of all gateways.

    Gateways with neighbouring numbers serve the same customers, so their positions are far apart.
    """
    count = max(1, settings.gateways)
    stride = round(RING_STRIDE * count) or 1
    while math.gcd(stride, count) != 1:
        stride += 1
    return stride * settings.gateway % count


def ring_key(host: Host) -> tuple[int, int]:
    """Return the key by which all gateways sort hosts into the same order."""
    return host.order, host.id


class SortedHosts:
    """Hosts in ring order; changes are collected and take effect with `apply_changes`."""

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self.added: dict[int, Host] = {}
        self.removed: dict[int, Host] = {}

    def add(self, host: Host) -> None:
        """Add a host with the next `apply_changes`."""
        if self.removed.get(host.id) is host:
            del self.removed[host.id]
        else:
            self.added[host.id] = host

    def remove(self, host: Host) -> None:
        """Remove a host with the next `apply_changes`."""
        if self.added.get(host.id) is host:
            del self.added[host.id]
        else:
            self.removed[host.id] = host

    def index_of(self, host: Host) -> int:
        """Return the index at which a host is or would be inserted."""
        return bisect_left(self.hosts, ring_key(host), key=ring_key)

    def apply_changes(self) -> None:
        """Apply the collected additions and removals."""
        many = len(self.hosts) // BULK_DIVISOR
        if len(self.removed) > many:
            self.hosts = [host for host in self.hosts if host.id not in self.removed]
        else:
            for host in self.removed.values():
                del self.hosts[self.index_of(host)]
        if len(self.added) > many:
            self.hosts.extend(self.added.values())
            self.hosts.sort(key=ring_key)
        else:
            for host in self.added.values():
                self.hosts.insert(self.index_of(host), host)
        self.removed.clear()
        self.added.clear()


class HostIndex:
    """The hosts that discovery lists, kept up to date with the list and with the hosts' ages."""

    def __init__(
        self,
        settings: it.Settings,
        warmth: Callable[[float, Host], float],
        cold_share: Callable[[Host, float, float], float],
    ) -> None:
        self.settings = settings
        self.warmth = warmth  # by time and host; a host below 1 is cold
        self.cold_share = cold_share  # in multiples of an even share, by host, warmth and mean size
        self.ages = HostAges(settings.rules.warm_ms)
        self.position = ring_position(settings)
        self.hosts: dict[int, Host] = {}
        self.leaving: dict[int, Host] = {}  # no longer listed, but with attempts open
        self.ring = SortedHosts()  # all listed hosts
        self.warm_ring = SortedHosts()  # the listed hosts that are ready and warm
        self.start = 0  # the index in `warm` at which this gateway begins
        self.cold = ColdHosts()  # the listed hosts that are ready and cold
        self.new_cold: dict[int, Host] = {}  # to be added to `cold`
        self.used: dict[int, Host] = {}  # all hosts with load, and possibly others
        self.fleet_size = 1.0  # how many hosts recently carried the traffic
        self.total_size = 0.0  # of all ready hosts
        self.mean_size = 0.0  # of the ready hosts; 0: the list gives no sizes

    @property
    def warm(self) -> list[Host]:
        """The warm ready hosts; this gateway uses them from index `start` on."""
        return self.warm_ring.hosts

    def update(self, now: float, event: it.HostList) -> None:
        """Apply a list or a change of it; an entry that changes nothing costs one comparison."""
        hosts = self.hosts
        self.ages.observe_list(now, event)
        if event.kind is not it.ListKind.DELTA:
            for number in hosts.keys() - {entry.host for entry in event.entries}:
                host = hosts[number]
                host.is_ready, host.is_gone = False, True
                self._classify(now, host)
        for entry in event.entries:
            number, zone, cell, state, size, started, _ = entry
            known = hosts.get(number)
            if known is None:
                if state is not it.HostState.GONE:
                    hosts[number] = known = Host(entry, now, self.ages)
                    self._classify(now, known)
            elif (
                known.zone != zone
                or known.cell != cell
                or known.size != size
                or known.is_restart(started)
                or known.is_ready is not (state is it.HostState.READY)
                or known.is_gone is not (state is it.HostState.GONE)
            ):
                known.update(entry, now, self.ages)
                self._classify(now, known)
        for host in list(self.leaving.values()):
            self.forget_if_gone(host)
        self._apply_changes(now)

    def _classify(self, now: float, host: Host) -> None:
        """Move a host to the collections that its present state belongs to."""
        if host.is_in_ring is host.is_gone:
            (self.ring.remove if host.is_gone else self.ring.add)(host)
            host.is_in_ring = not host.is_gone
        if host.is_gone:
            self.leaving[host.id] = host
        else:
            self.leaving.pop(host.id, None)
        previous, state = host.warmup_state, WarmupState.NOT_READY
        if host.is_ready:
            state = WarmupState.COLD if self.warmth(now, host) < 1.0 else WarmupState.WARM
        if previous is WarmupState.WARM and state is not WarmupState.WARM:
            self.warm_ring.remove(host)
        elif previous is WarmupState.COLD and self.new_cold.pop(host.id, None) is None:
            self.cold.remove(host)
        self.total_size += (host.size if host.is_ready else 0.0) - host.counted_size
        host.counted_size = host.size if host.is_ready else 0.0
        host.warmup_state = state
        if state is WarmupState.COLD:
            self.new_cold[host.id] = host
        elif state is WarmupState.WARM and previous is not WarmupState.WARM:
            self.warm_ring.add(host)

    def _apply_changes(self, now: float) -> None:
        """Update orders, sizes and intervals after changes of hosts."""
        self.ring.apply_changes()
        self.warm_ring.apply_changes()
        ready_count = len(self.warm) + len(self.cold) + len(self.new_cold)
        self.fleet_size = max(self.fleet_size, ready_count)
        if not ready_count:
            self.total_size = 0.0  # removes rounding errors as well
        elif self.settings.sizes_told:
            self.mean_size = self.total_size / ready_count
        for host in self.new_cold.values():  # only now, as an outdated mean size might give a host too much
            share = self.cold_share(host, self.warmth(now, host), self.mean_size)
            self.cold.add(host, share, self.mean_size)
        self.new_cold.clear()
        ring = self.ring.hosts
        first = self.position * len(ring) // max(1, self.settings.gateways)
        self.start = self.warm_ring.index_of(ring[first]) if first < len(ring) else 0

    def forget_if_gone(self, host: Host) -> None:
        """Remove a host that has left the list once its last attempt has ended."""
        if host.is_gone and not host.open_attempts:
            del self.hosts[host.id]
            del self.leaving[host.id]
            self.used.pop(host.id, None)

    def mark_restarted(self, now: float, host: Host) -> None:
        """Treat a host as started just now, and so as cold."""
        host.started = now
        self._classify(now, host)
        self._apply_changes(now)

    def reclassify_all(self, now: float) -> None:
        """Classify every host again after the ages of many have changed."""
        for host in list(self.hosts.values()):
            self._classify(now, host)
        self._apply_changes(now)

    def begin_period(self, now: float) -> None:
        """Update cold hosts for their age, and let the number of hosts that carry the traffic decay."""
        if self.cold.intervals:
            self._warm_up(now)
        self.fleet_size = max(1.0, FLEET_DECAY * self.fleet_size, len(self.warm) + len(self.cold))

    def _warm_up(self, now: float) -> None:
        still_cold, shares = list[Host](), list[float]()
        for host in self.cold.hosts():
            warmth = self.warmth(now, host)
            if warmth < 1.0:
                still_cold.append(host)
                shares.append(self.cold_share(host, warmth, self.mean_size))
            else:
                host.warmup_state = WarmupState.WARM
                self.warm_ring.add(host)
        self.cold.replace(still_cold, shares, self.mean_size)
        self._apply_changes(now)

    def add_load(self, now: float, host: Host) -> None:
        """Count one more attempt as load at a host, which may have left while a request was arriving."""
        host.add_load(now)
        if self.hosts.get(host.id) is host:
            self.used[host.id] = host

    def loaded(self) -> list[Host]:
        """Return the hosts at which attempts of this gateway are load."""
        self.used = {number: host for number, host in self.used.items() if host.open_attempts}
        return list(self.used.values())

    def has_ready_host(self) -> bool:
        """Return whether there is a host to send to."""
        return bool(self.warm or self.cold.interval_of)

    def listed(self) -> list[Host]:
        """Return the hosts in the list."""
        return self.ring.hosts
