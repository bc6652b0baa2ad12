"""Gateways and their clients as roles of processes."""

from __future__ import annotations

import asyncio
import gc
import re
import time
from pathlib import Path
from typing import Any

from rainturn.emulator.client_load import GatewayClients, answers_ping
from rainturn.emulator.commands import (
    AwaitReady,
    AwaitVersion,
    ClientReading,
    HollowReading,
    Join,
    Joined,
    Leave,
    StartLoad,
    StopLoad,
    WatchStalls,
)
from rainturn.emulator.hollow import Addresses, HollowGateway
from rainturn.emulator.load import OpenLoop
from rainturn.emulator.stalls import StallWatch
from rainturn.emulator.workload import DrawnRequest, Tenants

POLL_S = 0.02  # how often a hollow process looks whether its gateways have a version


def peak_memory_mb() -> float:
    """The most memory that this process has held at once, in MB; `ru_maxrss` also counts its parent's."""
    status = Path("/proc/self/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found[1]) / 1024 if found else 0.0


class HollowRole:
    """Plays many hollow gateways."""

    def __init__(self, gateways: int, addresses: Addresses, seed: int) -> None:
        self.gateways_in_fleet, self.addresses, self.seed = gateways, addresses, seed
        self.gateways: dict[int, HollowGateway] = {}
        self.requests = 0
        self.load: OpenLoop | None = None
        self.stalls = StallWatch()

    async def start(self) -> None:
        """No gateway yet."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command."""
        if isinstance(command, Join):
            return await self._join(command)
        if isinstance(command, Leave):
            for number in command.numbers:
                await self.gateways.pop(number).stop()
            return None
        if isinstance(command, WatchStalls):
            return self.stalls.start() if command.on else self.stalls.stop()
        if isinstance(command, AwaitVersion):
            return await self._await_version(command)
        if isinstance(command, StartLoad):
            return self._load_on(command)
        if isinstance(command, StopLoad):
            if self.load is not None:
                self.load.stop()
            return None
        ended: dict[str, int] = {}
        for gateway in self.gateways.values():
            for ending, count in gateway.client.outcome_counts.items():
                ended[ending] = ended.get(ending, 0) + count
        return HollowReading(time.process_time(), self.requests, ended, peak_memory_mb())

    async def _join(self, command: Join) -> Joined:
        began, used = time.monotonic(), time.process_time()
        for number in command.numbers:
            seed = self.seed * 1_000_003 + number
            gateway = HollowGateway(number, self.gateways_in_fleet, self.addresses, seed)
            self.gateways[number] = gateway
            gateway.start()
        waiting = set(command.numbers)
        while waiting and time.monotonic() - began < command.timeout_s:
            waiting = {number for number in waiting if not self.gateways[number].version}
            await asyncio.sleep(POLL_S if waiting else 0)
        joined = Joined(time.monotonic() - began, time.process_time() - used, len(waiting))
        gc.collect()
        gc.freeze()  # as a gateway does once it has started
        return joined

    async def _await_version(self, command: AwaitVersion) -> list[float]:
        waiting = set(self.gateways)
        times: list[float] = []
        until = time.monotonic() + command.timeout_s
        while waiting and time.monotonic() < until:
            reached = {n for n in waiting if self.gateways[n].version >= command.version}
            times += [time.monotonic() - command.since] * len(reached)
            waiting -= reached
            await asyncio.sleep(POLL_S if waiting else 0)
        return times

    def _load_on(self, command: StartLoad) -> None:
        tenants = Tenants(command.tenants, command.gateways, command.requests_per_second, command.seed)
        take = self._take_dry if command.dry else self._take
        self.load = OpenLoop(tenants, command.requests_per_second, command.seed + self.seed, take)
        self.load.start()

    def _take(self, draw: DrawnRequest) -> None:
        gateway = self.gateways.get(draw.gateway)
        if gateway is not None:
            self.requests += 1
            gateway.submit(draw)

    def _take_dry(self, draw: DrawnRequest) -> None:
        gateway = self.gateways.get(draw.gateway)
        if gateway is not None:
            self.requests += 1
            gateway.make_request(draw)

    async def stop(self) -> None:
        """End all gateways."""
        if self.load is not None:
            self.load.stop()
        self.stalls.stop()
        for gateway in self.gateways.values():
            await gateway.stop()


class ClientRole:
    """Plays the clients of real gateways."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.fronts: dict[int, GatewayClients] = {}
        self.requests = 0
        self.load: OpenLoop | None = None

    async def start(self) -> None:
        """No gateway yet."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command."""
        if isinstance(command, AwaitReady):
            return await self._await_ready(command)
        if isinstance(command, StartLoad):
            tenants = Tenants(command.tenants, command.gateways, command.requests_per_second, command.seed)
            self.load = OpenLoop(tenants, command.requests_per_second, command.seed + self.seed, self._take)
            return self.load.start()
        if isinstance(command, StopLoad):
            if self.load is not None:
                self.load.stop()
            return None
        return self._read()

    async def _await_ready(self, command: AwaitReady) -> bool:
        until = time.monotonic() + command.timeout_s
        waiting = dict(command.addresses)
        while waiting and time.monotonic() < until:
            for number, address in list(waiting.items()):
                if await answers_ping(address):
                    del waiting[number]
            await asyncio.sleep(POLL_S)
        for front in self.fronts.values():
            front.close()
        self.fronts = {number: GatewayClients(address) for number, address in command.addresses.items()}
        return not waiting

    def _take(self, draw: DrawnRequest) -> None:
        front = self.fronts.get(draw.gateway)
        if front is not None:
            self.requests += 1
            front.request(self.requests, draw)

    def _read(self) -> ClientReading:
        """The figures since the last reading."""
        added = None
        ended: dict[str, int] = {}
        for front in self.fronts.values():
            for ending, count in front.outcome_counts.items():
                ended[ending] = ended.get(ending, 0) + count
            if added is None:
                added = front.added_us
            else:
                added.add(front.added_us)
            front.outcome_counts.clear()
        if added is None or not added.get_total_count():
            return ClientReading(self.requests, ended, 0.0, 0.0, 0.0)
        reading = ClientReading(
            self.requests,
            ended,
            added.get_value_at_percentile(50) / 1000,
            added.get_value_at_percentile(99) / 1000,
            added.get_max_value() / 1000,
        )
        for front in self.fronts.values():
            front.added_us.reset()
        return reading

    async def stop(self) -> None:
        """End all connections."""
        if self.load is not None:
            self.load.stop()
        for front in self.fronts.values():
            front.close()
