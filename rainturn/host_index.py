"""The listed hosts: all by number, the ready ones told apart into warm and cold, the warm ones in order.

All gateways put the hosts on one ring. Each begins at its own place, at even distances from the others, so
each host is near to few of them: these use its connections again, hear of it often, and their own attempts
are most of its load. Nothing here decides.

A change of one host costs a few comparisons for each doubling of the list and one shift of a list of
references; a period costs as much as there are cold hosts and hosts used since the last one.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable

from rainturn import interface as it
from rainturn.cold_hosts import ColdHosts
from rainturn.host_ages import HostAges
from rainturn.records import Host, Standing

RING_STRIDE = 0.618  # the golden section: neighbours this part of a round apart lie far apart
FLEET_MEMORY = 0.99  # of the number of hosts that carried the traffic, for each period
BULK_PART = 16  # beyond a part of so many of the list one sort is cheaper than single steps


def ring_position(settings: it.Settings) -> int:
    """This gateway's position on a ring of all gateways; neighbours in number serve the same customers."""
    count = max(1, settings.gateways)
    stride = round(RING_STRIDE * count) or 1
    while math.gcd(stride, count) != 1:
        stride += 1
    return stride * settings.gateway % count


def ring_key(host: Host) -> tuple[int, int]:
    """By which all gateways put hosts in the same order."""
    return host.order, host.id


class SortedHosts:
    """Hosts in the order of the ring; changes are gathered and take effect with `settle`."""

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self.added: dict[int, Host] = {}
        self.removed: dict[int, Host] = {}

    def add(self, host: Host) -> None:
        """Have a host here."""
        if self.removed.get(host.id) is host:
            del self.removed[host.id]
        else:
            self.added[host.id] = host

    def remove(self, host: Host) -> None:
        """Have a host here no more."""
        if self.added.get(host.id) is host:
            del self.added[host.id]
        else:
            self.removed[host.id] = host

    def place(self, host: Host) -> int:
        """Where a host is, or would be."""
        return bisect_left(self.hosts, ring_key(host), key=ring_key)

    def settle(self) -> None:
        """Bring the order up to date."""
        many = len(self.hosts) // BULK_PART
        if len(self.removed) > many:
            self.hosts = [host for host in self.hosts if host.id not in self.removed]
        else:
            for host in self.removed.values():
                del self.hosts[self.place(host)]
        if len(self.added) > many:
            self.hosts.extend(self.added.values())
            self.hosts.sort(key=ring_key)
        else:
            for host in self.added.values():
                self.hosts.insert(self.place(host), host)
        self.removed.clear()
        self.added.clear()


class HostIndex:
    """Follows the host list and the age of hosts."""

    def __init__(
        self,
        settings: it.Settings,
        warmth: Callable[[float, Host], float],
        cold_share: Callable[[Host, float, float], float],
    ) -> None:
        self.settings = settings
        self.warmth = warmth  # by time and host; a host below 1 is cold
        self.cold_share = cold_share  # of an even share of the requests, by host, warmth and mean size
        self.ages = HostAges(settings.rules.warm_ms)
        self.position = ring_position(settings)
        self.hosts: dict[int, Host] = {}
        self.leaving: dict[int, Host] = {}  # gone from the list, with attempts out
        self.ring = SortedHosts()  # the listed ones
        self.ready = SortedHosts()  # the warm ones among them that are ready
        self.start = 0  # where this gateway begins in these
        self.cold = ColdHosts()  # the cold ones that are ready
        self.new_cold: dict[int, Host] = {}  # to be added to these
        self.used: dict[int, Host] = {}  # those with attempts out, and some more
        self.fleet = 1.0  # how many hosts carried the traffic lately
        self.sizes = 0.0  # of all ready hosts
        self.mean_size = 0.0  # of a ready host; 0: the list tells no sizes

    @property
    def warm(self) -> list[Host]:
        """The warm ready hosts; this gateway uses them from `start` on."""
        return self.ready.hosts

    def update(self, now: float, event: it.HostList) -> None:
        """Follow a list or a change of it. Entries that say nothing new cost a comparison."""
        hosts = self.hosts
        self.ages.follow(now, event)
        if event.kind is not it.ListKind.DELTA:
            for number in hosts.keys() - {entry.host for entry in event.entries}:
                host = hosts[number]
                host.is_ready, host.is_gone = False, True
                self._place(now, host)
        for entry in event.entries:
            number, zone, cell, state, size, started, _ = entry
            known = hosts.get(number)
            if known is None:
                if state is not it.HostState.GONE:
                    hosts[number] = known = Host(entry, now, self.ages)
                    self._place(now, known)
            elif (
                known.zone != zone
                or known.cell != cell
                or known.size != size
                or known.is_restart(started)
                or known.is_ready is not (state is it.HostState.READY)
                or known.is_gone is not (state is it.HostState.GONE)
            ):
                known.update(entry, now, self.ages)
                self._place(now, known)
        for host in list(self.leaving.values()):
            self.forget_if_gone(host)
        self._settle(now)

    def _place(self, now: float, host: Host) -> None:
        """Put a host where it belongs by now."""
        if host.in_ring is host.is_gone:
            (self.ring.remove if host.is_gone else self.ring.add)(host)
            host.in_ring = not host.is_gone
        if host.is_gone:
            self.leaving[host.id] = host
        else:
            self.leaving.pop(host.id, None)
        was, standing = host.standing, Standing.NOT_READY
        if host.is_ready:
            standing = Standing.COLD if self.warmth(now, host) < 1.0 else Standing.WARM
        if was is Standing.WARM and standing is not Standing.WARM:
            self.ready.remove(host)
        elif was is Standing.COLD and self.new_cold.pop(host.id, None) is None:
            self.cold.remove(host)
        self.sizes += (host.size if host.is_ready else 0.0) - host.counted_size
        host.counted_size = host.size if host.is_ready else 0.0
        host.standing = standing
        if standing is Standing.COLD:
            self.new_cold[host.id] = host
        elif standing is Standing.WARM and was is not Standing.WARM:
            self.ready.add(host)

    def _settle(self, now: float) -> None:
        """Bring orders and numbers up to date after changes."""
        self.ring.settle()
        self.ready.settle()
        ready = len(self.warm) + len(self.cold) + len(self.new_cold)
        self.fleet = max(self.fleet, ready)
        if not ready:
            self.sizes = 0.0  # and with it what rounding has left
        elif self.settings.sizes_told:
            self.mean_size = self.sizes / ready
        for host in self.new_cold.values():  # by the mean size of now: by an older one it might get too much
            share = self.cold_share(host, self.warmth(now, host), self.mean_size)
            self.cold.add(host, share, self.mean_size)
        self.new_cold.clear()
        ring = self.ring.hosts
        first = self.position * len(ring) // max(1, self.settings.gateways)
        self.start = self.ready.place(ring[first]) if first < len(ring) else 0

    def forget_if_gone(self, host: Host) -> None:
        """Drop a host that has left the list once its last attempt has ended."""
        if host.is_gone and not host.open_attempts:
            del self.hosts[host.id]
            del self.leaving[host.id]
            self.used.pop(host.id, None)

    def restarted(self, now: float, host: Host) -> None:
        """A host has restarted by now: it is cold again."""
        host.started = now
        self._place(now, host)
        self._settle(now)

    def reclassify_all(self, now: float) -> None:
        """Put each host where it belongs: the ages of many have changed."""
        for host in list(self.hosts.values()):
            self._place(now, host)
        self._settle(now)

    def begin_period(self, now: float) -> None:
        """Let cold hosts grow warm; hosts that carry traffic no more are slowly forgotten."""
        if self.cold.places:
            self._warm_up(now)
        self.fleet = max(1.0, FLEET_MEMORY * self.fleet, len(self.warm) + len(self.cold))

    def _warm_up(self, now: float) -> None:
        still_cold, shares = list[Host](), list[float]()
        for host in self.cold.hosts():
            warmth = self.warmth(now, host)
            if warmth < 1.0:
                still_cold.append(host)
                shares.append(self.cold_share(host, warmth, self.mean_size))
            else:
                host.standing = Standing.WARM
                self.ready.add(host)
        self.cold.replace(still_cold, shares, self.mean_size)
        self._settle(now)

    def add_load(self, now: float, host: Host) -> None:
        """One more attempt is load at a host, which may have been dropped while a request was on its way."""
        host.add_load(now)
        if self.hosts.get(host.id) is host:
            self.used[host.id] = host

    def loaded(self) -> list[Host]:
        """The hosts that have attempts of this gateway as load."""
        self.used = {number: host for number, host in self.used.items() if host.open_attempts}
        return list(self.used.values())

    def any_ready(self) -> bool:
        """Whether there is a host to send to."""
        return bool(self.warm or self.cold.place_of)

    def listed(self) -> list[Host]:
        """The hosts that the list holds."""
        return self.ring.hosts
