"""The listed hosts: all by number, the ready ones told apart into warm and cold, the warm ones in order.

All gateways put the hosts on one ring. Each begins at its own place, at even distances from the others, so
each host is near to few of them: these use its connections again, hear of it often, and their own attempts
are most of its load. Nothing here decides.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from rainturn import interface as it
from rainturn.records import Host

RING_STRIDE = 0.618  # the golden section: neighbours this part of a round apart lie far apart
FLEET_MEMORY = 0.99  # of the number of hosts that carried the traffic, for each period


def ring_position(settings: it.Settings) -> int:
    """This gateway's position on a ring of all gateways; neighbours in number serve the same customers."""
    count = max(1, settings.gateways)
    stride = round(RING_STRIDE * count) or 1
    while math.gcd(stride, count) != 1:
        stride += 1
    return stride * settings.gateway % count


class HostIndex:
    """Follows the host list and the age of hosts."""

    def __init__(self, settings: it.Settings, warmth: Callable[[float, Host], float]) -> None:
        self.settings = settings
        self.warmth = warmth  # by time and host; a host below 1 is cold
        self.position = ring_position(settings)
        self.hosts: dict[int, Host] = {}
        self.warm: list[Host] = []  # ready ones, from this gateway's place on the ring
        self.cold: list[Host] = []  # ready ones
        self.fleet = 1.0  # how many hosts carried the traffic lately
        self.mean_size = 0.0  # of a ready host; 0: the list tells no sizes

    def update(self, now: float, event: it.HostList) -> None:
        """Follow a list or a change of it."""
        if event.kind is not it.ListKind.DELTA:
            named = {entry.host for entry in event.entries}
            for host in self.hosts.values():
                host.ready = host.ready and host.id in named
                host.gone = host.gone or host.id not in named
        for entry in event.entries:
            if entry.host in self.hosts:
                self.hosts[entry.host].update(entry)
            elif entry.state is not it.HostState.GONE:
                self.hosts[entry.host] = Host(entry, now)
        for host in list(self.hosts.values()):
            self.forget_if_gone(host)
        self.sort(now)

    def forget_if_gone(self, host: Host) -> None:
        """Drop a host that has left the list once its last attempt has ended."""
        if host.gone and not host.open_attempts:
            del self.hosts[host.id]

    def restarted(self, now: float, host: Host) -> None:
        """A host has restarted by now: it is cold again."""
        host.started = now
        self.sort(now)

    def sort(self, now: float) -> None:
        """Put all in order anew."""
        self.cold = [host for host in self.hosts.values() if host.ready and self.warmth(now, host) < 1.0]
        listed = [host for host in self.hosts.values() if not host.gone]
        listed.sort(key=lambda host: (host.order, host.id))
        first = self.position * len(listed) // max(1, self.settings.gateways)
        ring = listed[first:] + listed[:first]
        self.warm = [host for host in ring if host.ready and self.warmth(now, host) >= 1.0]
        ready = self.warm + self.cold
        self.fleet = max(self.fleet, len(ready))
        if self.settings.sizes_told and ready:
            self.mean_size = sum(host.size for host in ready) / len(ready)

    def begin_period(self, now: float) -> None:
        """Let cold hosts grow warm; hosts that carry traffic no more are slowly forgotten."""
        if self.cold:
            self.sort(now)
        self.fleet = max(1.0, FLEET_MEMORY * self.fleet, len(self.warm) + len(self.cold))

    def any_ready(self) -> bool:
        """Whether there is a host to send to."""
        return any(host.ready for host in self.hosts.values())

    def listed(self) -> list[Host]:
        """The hosts that the list holds."""
        return [host for host in self.hosts.values() if not host.gone]
