"""The stand-ins as roles of processes: discovery, the counter and the hosts."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from typing import Any

from rainturn.emulator.commands import (
    Changed,
    ChangeOne,
    Listen,
    ServiceReading,
    SetList,
    Slow,
    Zone,
)
from rainturn.emulator.counter_service import CounterService
from rainturn.emulator.discovery_service import GONE, DiscoveryService
from rainturn.emulator.host_service import HostService
from rainturn.emulator.workload import HostLine, host_lines

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
            lines = host_lines(command.hosts, command.dials)
            service.replace(lines)
            return service.directory.version
        if isinstance(command, ChangeOne):
            return await self._change_one(command)
        if isinstance(command, Zone):
            return await self._zone(command)
        if isinstance(command, Slow):
            service.answer_ms = command.answer_ms
            return None
        traffic = {label: traffic.copy() for label, traffic in service.traffic.items()}
        return ServiceReading(time.process_time(), traffic, len(service.directory.lines))

    async def _change_one(self, command: ChangeOne) -> Changed:
        """A host drains, and the next change puts it back."""
        directory, first = self.service.directory, time.monotonic()
        drained: str | None = None
        for _ in range(command.count):
            name = drained or self.rng.choice(list(directory.lines))
            line = directory.lines[name]
            drained = None if drained else name
            line = line.with_health("in_service" if drained is None else "terminating")
            await self._pace(command.watchers, command.every_s)
            self.service.change([line])
        if command.watchers:
            await self.service.watched(command.watchers)
        return Changed(directory.version, command.count, first)

    async def _pace(self, watchers: int, pause_s: float) -> None:
        if watchers:
            await self.service.watched(watchers)
        else:
            await asyncio.sleep(pause_s)

    async def _zone(self, command: Zone) -> Changed:
        directory, first = self.service.directory, time.monotonic()
        if command.lost:
            lines = list(directory.lines.values())
            self.lost = lines[: round(command.part * len(lines))]
            changed = [line.with_health(GONE) for line in self.lost]
        else:
            changed = [line.with_health("in_service", time.time() * 1000) for line in self.lost]
        if command.as_one:
            self.service.change(changed)
            return Changed(directory.version, 1, first)
        for number, line in enumerate(changed):
            pause_s = first + command.over_s * number / len(changed) - time.monotonic()
            if command.watchers or pause_s > 0:
                await self._pace(command.watchers, pause_s)
            self.service.change([line])
        if command.watchers:
            await self.service.watched(command.watchers)
        return Changed(directory.version, len(changed), first)

    lost: Sequence[HostLine] = ()

    async def stop(self) -> None:
        """End."""
        self.service.close()


class CounterRole:
    """Plays the counter. All gateways of a scale run share one address, so callers are not bounded."""

    def __init__(self) -> None:
        self.service = CounterService(per_caller=NO_CALLER_LIMIT)

    async def start(self) -> None:
        """Nothing listens yet."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command."""
        if isinstance(command, Listen):
            return await self.service.listen(command.label)
        traffic = {label: traffic.copy() for label, traffic in self.service.traffic.items()}
        return ServiceReading(time.process_time(), traffic, len(self.service.numbers))

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
