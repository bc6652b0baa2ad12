"""Roles of processes: the stand-ins for discovery, the counter and hosts."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from typing import Any

from rainturn.emulator.commands import (
    ChangeHosts,
    ChangeZone,
    ListChange,
    Listen,
    ReplaceHostList,
    ServiceReading,
    SetAnswerTime,
)
from rainturn.emulator.counter_service import CounterService
from rainturn.emulator.discovery_service import TERMINATED, DiscoveryService
from rainturn.emulator.host_service import HostService
from rainturn.emulator.workload import HostListEntry, make_host_entries

NO_CALLER_LIMIT = 1 << 30


class DiscoveryRole:
    """Runs the stand-in for discovery."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.service = DiscoveryService([])

    async def start(self) -> None:
        """Do nothing: the service listens once it gets `Listen`."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command and return its answer; any other command is a `GetReading`."""
        service = self.service
        if isinstance(command, Listen):
            return await service.listen(command.label)
        if isinstance(command, ReplaceHostList):
            entries = make_host_entries(command.hosts, command.addresses)
            service.replace(entries)
            return service.directory.version
        if isinstance(command, ChangeHosts):
            return await self._change_hosts(command)
        if isinstance(command, ChangeZone):
            return await self._change_zone(command)
        if isinstance(command, SetAnswerTime):
            service.answer_ms = command.answer_ms
            return None
        traffic = {label: traffic.copy() for label, traffic in service.traffic.items()}
        return ServiceReading(time.process_time(), traffic)

    async def _change_hosts(self, command: ChangeHosts) -> ListChange:
        """Drain a random host with one change and return it to service with the next, and so on."""
        directory, started_at = self.service.directory, time.monotonic()
        drained: str | None = None
        for _ in range(command.count):
            name = drained or self.rng.choice(list(directory.entries))
            entry = directory.entries[name]
            drained = None if drained else name
            entry = entry.with_health("in_service" if drained is None else "terminating")
            await self._wait_before_change(command.watchers, command.interval_s)
            self.service.change([entry])
        if command.watchers:
            await self.service.wait_for_watchers(command.watchers)
        return ListChange(directory.version, command.count, started_at)

    async def _wait_before_change(self, watchers: int, pause_s: float) -> None:
        """Wait until `watchers` callers have the current version; if `watchers` is 0, wait for `pause_s`."""
        if watchers:
            await self.service.wait_for_watchers(watchers)
        else:
            await asyncio.sleep(pause_s)

    async def _change_zone(self, command: ChangeZone) -> ListChange:
        directory, started_at = self.service.directory, time.monotonic()
        if command.lost:
            entries = list(directory.entries.values())
            self.lost_entries = entries[: round(command.fraction * len(entries))]
            changed = [entry.with_health(TERMINATED) for entry in self.lost_entries]
        else:
            changed = [entry.with_health("in_service", time.time() * 1000) for entry in self.lost_entries]
        if command.as_one_version:
            self.service.change(changed)
            return ListChange(directory.version, 1, started_at)
        for number, entry in enumerate(changed):
            pause_s = started_at + command.duration_s * number / len(changed) - time.monotonic()
            if command.watchers or pause_s > 0:
                await self._wait_before_change(command.watchers, pause_s)
            self.service.change([entry])
        if command.watchers:
            await self.service.wait_for_watchers(command.watchers)
        return ListChange(directory.version, len(changed), started_at)

    lost_entries: Sequence[HostListEntry] = ()

    async def stop(self) -> None:
        """Close the service."""
        self.service.close()


class CounterRole:
    """Runs the stand-in for the counter.

    All gateways of a scale run share one address, so the number of connections per address is not limited.
    """

    def __init__(self) -> None:
        self.service = CounterService(max_per_caller=NO_CALLER_LIMIT)

    async def start(self) -> None:
        """Do nothing: the service listens once it gets `Listen`."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command and return its answer; any other command is a `GetReading`."""
        if isinstance(command, Listen):
            return await self.service.listen(command.label)
        traffic = {label: traffic.copy() for label, traffic in self.service.traffic.items()}
        return ServiceReading(time.process_time(), traffic)

    async def stop(self) -> None:
        """Close the service."""
        self.service.close()


class HostRole:
    """Runs the stand-in for the hosts of real gateways."""

    def __init__(self, port_count: int, seed: int) -> None:
        self.port_count, self.service = port_count, HostService(seed)

    async def start(self) -> tuple[str, ...]:
        """Listen and return the addresses."""
        return await self.service.listen(self.port_count)

    async def handle(self, command: Any) -> Any:
        """Return a reading; the only command is `GetReading`."""
        return ServiceReading(time.process_time(), {"hosts": self.service.traffic.copy()})

    async def stop(self) -> None:
        """Close the service."""
        self.service.close()
