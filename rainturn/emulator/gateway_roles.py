"""Roles of processes: hollow gateways, and the clients of real gateways."""

from __future__ import annotations

import asyncio
import gc
import re
import time
from pathlib import Path
from typing import Any

from rainturn.emulator.client_load import GatewayClients, answers_ping
from rainturn.emulator.commands import (
    AwaitVersion,
    ClientReading,
    GatewaysStarted,
    HollowReading,
    StartGateways,
    StartLoad,
    StopGateways,
    StopLoad,
    TargetGateways,
    WatchStalls,
)
from rainturn.emulator.hollow import Addresses, HollowGateway
from rainturn.emulator.open_loop_load import OpenLoopLoad
from rainturn.emulator.stalls import StallWatch
from rainturn.emulator.workload import DrawnRequest, Tenants

POLL_INTERVAL_S = 0.02  # how often a role checks whether its gateways have a version or are ready


def peak_memory_mb() -> float:
    """Return the most memory that this process has held at once, in MB.

    `ru_maxrss` is not usable for this, as it also includes the memory of the parent process.
    """
    status = Path("/proc/self/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found[1]) / 1024 if found else 0.0


class HollowRole:
    """Runs many hollow gateways."""

    def __init__(self, fleet_size: int, addresses: Addresses, seed: int) -> None:
        self.fleet_size, self.addresses, self.seed = fleet_size, addresses, seed
        self.gateways: dict[int, HollowGateway] = {}
        self.requests = 0
        self.load: OpenLoopLoad | None = None
        self.stalls = StallWatch()

    async def start(self) -> None:
        """Do nothing: no gateway exists yet."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command and return its answer; any other command is a `GetReading`."""
        if isinstance(command, StartGateways):
            return await self._start_gateways(command)
        if isinstance(command, StopGateways):
            for number in command.numbers:
                await self.gateways.pop(number).stop()
            return None
        if isinstance(command, WatchStalls):
            return self.stalls.start() if command.on else self.stalls.stop()
        if isinstance(command, AwaitVersion):
            return await self._await_version(command)
        if isinstance(command, StartLoad):
            return self._start_load(command)
        if isinstance(command, StopLoad):
            if self.load is not None:
                self.load.stop()
            return None
        outcomes: dict[str, int] = {}
        for gateway in self.gateways.values():
            for outcome, count in gateway.client.outcome_counts.items():
                outcomes[outcome] = outcomes.get(outcome, 0) + count
        return HollowReading(time.process_time(), self.requests, outcomes, peak_memory_mb())

    async def _start_gateways(self, command: StartGateways) -> GatewaysStarted:
        started_at, cpu_at_start = time.monotonic(), time.process_time()
        for number in command.numbers:
            seed = self.seed * 1_000_003 + number
            gateway = HollowGateway(number, self.fleet_size, self.addresses, seed)
            self.gateways[number] = gateway
            gateway.start()
        waiting = set(command.numbers)
        while waiting and time.monotonic() - started_at < command.timeout_s:
            waiting = {number for number in waiting if not self.gateways[number].version}
            await asyncio.sleep(POLL_INTERVAL_S if waiting else 0)
        started = GatewaysStarted(
            time.monotonic() - started_at, time.process_time() - cpu_at_start, len(waiting)
        )
        gc.collect()
        gc.freeze()  # a real gateway does the same once it has started
        return started

    async def _await_version(self, command: AwaitVersion) -> list[float]:
        waiting = set(self.gateways)
        times: list[float] = []
        end_at = time.monotonic() + command.timeout_s
        while waiting and time.monotonic() < end_at:
            reached = {n for n in waiting if self.gateways[n].version >= command.version}
            times += [time.monotonic() - command.since] * len(reached)
            waiting -= reached
            await asyncio.sleep(POLL_INTERVAL_S if waiting else 0)
        return times

    def _start_load(self, command: StartLoad) -> None:
        tenants = Tenants(command.tenants, command.gateways, command.requests_per_second, command.seed)
        submit = self._build_only if command.dry_run else self._submit
        self.load = OpenLoopLoad(tenants, command.requests_per_second, command.seed + self.seed, submit)
        self.load.start()

    def _submit(self, drawn: DrawnRequest) -> None:
        gateway = self.gateways.get(drawn.gateway)
        if gateway is not None:
            self.requests += 1
            gateway.submit(drawn)

    def _build_only(self, drawn: DrawnRequest) -> None:
        gateway = self.gateways.get(drawn.gateway)
        if gateway is not None:
            self.requests += 1
            gateway.make_request(drawn)

    async def stop(self) -> None:
        """Stop the load and all gateways."""
        if self.load is not None:
            self.load.stop()
        self.stalls.stop()
        for gateway in self.gateways.values():
            await gateway.stop()


class ClientRole:
    """Runs the clients of real gateways."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.clients_by_gateway: dict[int, GatewayClients] = {}
        self.requests = 0
        self.load: OpenLoopLoad | None = None

    async def start(self) -> None:
        """Do nothing: no gateway exists yet."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command and return its answer; any other command is a `GetReading`."""
        if isinstance(command, TargetGateways):
            return await self._target_gateways(command)
        if isinstance(command, StartLoad):
            tenants = Tenants(command.tenants, command.gateways, command.requests_per_second, command.seed)
            self.load = OpenLoopLoad(
                tenants, command.requests_per_second, command.seed + self.seed, self._submit
            )
            return self.load.start()
        if isinstance(command, StopLoad):
            if self.load is not None:
                self.load.stop()
            return None
        return self._reading()

    async def _target_gateways(self, command: TargetGateways) -> bool:
        end_at = time.monotonic() + command.timeout_s
        waiting = dict(command.addresses)
        while waiting and time.monotonic() < end_at:
            for number, address in list(waiting.items()):
                if await answers_ping(address):
                    del waiting[number]
            await asyncio.sleep(POLL_INTERVAL_S)
        for clients in self.clients_by_gateway.values():
            clients.close()
        self.clients_by_gateway = {
            number: GatewayClients(address) for number, address in command.addresses.items()
        }
        return not waiting

    def _submit(self, drawn: DrawnRequest) -> None:
        clients = self.clients_by_gateway.get(drawn.gateway)
        if clients is not None:
            self.requests += 1
            clients.send_request(self.requests, drawn)

    def _reading(self) -> ClientReading:
        """Return what the clients saw since the last reading, with the total of requests since the start."""
        added = None
        outcomes: dict[str, int] = {}
        for clients in self.clients_by_gateway.values():
            for outcome, count in clients.outcome_counts.items():
                outcomes[outcome] = outcomes.get(outcome, 0) + count
            if added is None:
                added = clients.added_us
            else:
                added.add(clients.added_us)
            clients.outcome_counts.clear()
        if added is None or not added.get_total_count():
            return ClientReading(self.requests, outcomes, 0.0, 0.0, 0.0)
        reading = ClientReading(
            self.requests,
            outcomes,
            added.get_value_at_percentile(50) / 1000,
            added.get_value_at_percentile(99) / 1000,
            added.get_max_value() / 1000,
        )
        for clients in self.clients_by_gateway.values():
            clients.added_us.reset()
        return reading

    async def stop(self) -> None:
        """Stop the load and close all connections."""
        if self.load is not None:
            self.load.stop()
        for clients in self.clients_by_gateway.values():
            clients.close()
