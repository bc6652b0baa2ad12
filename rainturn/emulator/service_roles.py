"""The stand-ins as roles of processes: discovery, the counter and the hosts."""

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
    ServiceReading,
    SetAnswerTime,
    SetList,
)
from rainturn.emulator.counter_service import CounterService
from rainturn.emulator.discovery_service import TERMINATED, DiscoveryService
from rainturn.emulator.host_service import HostService
from rainturn.emulator.workload import HostListEntry, make_host_entries

NO_CALLER_LIMIT = 1 << 30


class DiscoveryRole:
    """Plays discovery."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.service = DiscoveryService([])

    async def start(self) -> None:
        """Nothing listens yet."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command."""
        service = self.service
        if isinstance(command, Listen):
            return await service.listen(command.label)
        if isinstance(command, SetList):
            lines = make_host_entries(command.hosts, command.dials)
            service.replace(lines)
            return service.directory.version
        if isinstance(command, ChangeHosts):
            return await self._change_one(command)
        if isinstance(command, ChangeZone):
            return await self._zone(command)
        if isinstance(command, SetAnswerTime):
            service.answer_ms = command.answer_ms
            return None
        traffic = {label: traffic.copy() for label, traffic in service.traffic.items()}
        return ServiceReading(time.process_time(), traffic, len(service.directory.entries))

    async def _change_one(self, command: ChangeHosts) -> ListChange:
        """A host drains, and the next change puts it back."""
        directory, first = self.service.directory, time.monotonic()
        drained: str | None = None
        for _ in range(command.count):
            name = drained or self.rng.choice(list(directory.entries))
            line = directory.entries[name]
            drained = None if drained else name
            line = line.with_health("in_service" if drained is None else "terminating")
            await self._pace(command.watchers, command.interval_s)
            self.service.change([line])
        if command.watchers:
            await self.service.wait_for_watchers(command.watchers)
        return ListChange(directory.version, command.count, first)

    async def _pace(self, watchers: int, pause_s: float) -> None:
        if watchers:
            await self.service.wait_for_watchers(watchers)
        else:
            await asyncio.sleep(pause_s)

    async def _zone(self, command: ChangeZone) -> ListChange:
        directory, first = self.service.directory, time.monotonic()
        if command.lost:
            lines = list(directory.entries.values())
            self.lost = lines[: round(command.fraction * len(lines))]
            changed = [line.with_health(TERMINATED) for line in self.lost]
        else:
            changed = [line.with_health("in_service", time.time() * 1000) for line in self.lost]
        if command.as_one_version:
            self.service.change(changed)
            return ListChange(directory.version, 1, first)
        for number, line in enumerate(changed):
            pause_s = first + command.duration_s * number / len(changed) - time.monotonic()
            if command.watchers or pause_s > 0:
                await self._pace(command.watchers, pause_s)
            self.service.change([line])
        if command.watchers:
            await self.service.wait_for_watchers(command.watchers)
        return ListChange(directory.version, len(changed), first)

    lost: Sequence[HostListEntry] = ()

    async def stop(self) -> None:
        """End."""
        self.service.close()


class CounterRole:
    """Plays the counter. All gateways of a scale run share one address, so callers are not bounded."""

    def __init__(self) -> None:
        self.service = CounterService(max_per_caller=NO_CALLER_LIMIT)

    async def start(self) -> None:
        """Nothing listens yet."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command."""
        if isinstance(command, Listen):
            return await self.service.listen(command.label)
        traffic = {label: traffic.copy() for label, traffic in self.service.traffic.items()}
        return ServiceReading(time.process_time(), traffic, len(self.service.counts))

    async def stop(self) -> None:
        """End."""
        self.service.close()


class HostRole:
    """Plays the hosts of real gateways; `start` returns their addresses."""

    def __init__(self, ports: int, seed: int) -> None:
        self.ports, self.service = ports, HostService(seed)

    async def start(self) -> tuple[str, ...]:
        """Listen."""
        return await self.service.listen(self.ports)

    async def handle(self, command: Any) -> Any:
        """Read."""
        return ServiceReading(time.process_time(), {"hosts": self.service.traffic.copy()}, 0)

    async def stop(self) -> None:
        """End."""
        self.service.close()
