"""The context of one scale run: its options, its limits, and the processes that it starts."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from types import TracebackType
from typing import Any, TypeVar

import psutil

from rainturn.emulator.real_gateway import RealGateway
from rainturn.emulator.workers import ProcessCall, Role, Worker

MB = 1 << 20
MAX_MEMORY_FRACTION = 0.5  # of the machine's memory
MAX_PROCESSES = 200
MEMORY_SAMPLE_INTERVAL_S = 0.25


T = TypeVar("T", Worker, ProcessCall, RealGateway)


class OverBudget(Exception):
    """The run would exceed its limit of memory, processes or time."""


@dataclass(frozen=True)
class Options:
    """The sizes and the load of a scale run; `window_s` is how long one figure is measured, in s."""

    gateways: int
    hosts: int
    tenants: int
    requests_per_second: float
    changes_per_second: float
    seed: int
    quick: bool
    window_s: float


class RunContext:
    """Starts the processes of a scale run within its limits, and stops all of them when the run ends.

    It is a context manager: leaving the block stops every process, also after an error.
    """

    def __init__(self, options: Options, log: Callable[[str], None], time_limit_s: float) -> None:
        self.options = options
        self.settle_s = min(1.0, options.window_s / 4)  # wait before a measurement, until activity is steady
        self._log = log
        self.started_at = time.monotonic()
        self.deadline = self.started_at + time_limit_s
        self.processes_started = 0
        self.peak_memory_mb = 0.0
        self.exceeded_memory = False
        self._memory_limit_mb = MAX_MEMORY_FRACTION * psutil.virtual_memory().total / MB
        self._running: dict[int, Worker | ProcessCall | RealGateway] = {}
        self._lock = threading.Lock()
        self._ending = threading.Event()
        self._memory_sampler = threading.Thread(target=self._sample_memory, daemon=True)

    def __enter__(self) -> RunContext:
        self._memory_sampler.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        with self._lock:
            self._ending.set()
        self._memory_sampler.join()
        for process in list(self._running.values()):
            process.stop()
        self._running.clear()

    def log(self, text: str) -> None:
        """Report progress, with the time since the start of the run."""
        self._log(f"[{time.monotonic() - self.started_at:6.1f} s] {text}")

    @property
    def is_ending(self) -> bool:
        """Whether the run is being ended."""
        return self._ending.is_set()

    def remaining_s(self) -> float:
        """Return the time that is left to the run, in s; negative once the time limit has passed."""
        return self.deadline - time.monotonic()

    def check_limits(self) -> None:
        """Raise `OverBudget` if the run has used up its time or memory."""
        if self.exceeded_memory:
            raise OverBudget(f"over {self._memory_limit_mb:.0f} MB")
        if self.remaining_s() <= 0:
            raise OverBudget("out of time")

    def _start_process(self, create: Callable[[], T]) -> T:
        """Start one process; raise `OverBudget` if a limit of the run does not allow it."""
        self.check_limits()
        with self._lock:
            if self._ending.is_set():
                raise OverBudget("the run is over")
            if len(self._running) >= MAX_PROCESSES:
                raise OverBudget(f"over {MAX_PROCESSES} processes")
            process = create()
            self._running[id(process)] = process
            self.processes_started += 1
        return process

    def stop(self, *processes: Worker | ProcessCall | RealGateway) -> None:
        """Stop processes before the run ends."""
        for process in processes:
            process.stop()
            self._running.pop(id(process), None)

    @contextmanager
    def worker(self, make: Callable[[], Role]) -> Iterator[Worker]:
        """Provide a worker that is ready, and stop it at the end of the block."""
        worker = self.start_worker(make)
        try:
            worker.ready()
            yield worker
        finally:
            self.stop(worker)

    def start_worker(self, make: Callable[[], Role]) -> Worker:
        """Start a worker; the caller waits for `ready`."""
        return self._start_process(lambda: Worker(make))

    def call_in_process(self, function: Callable[..., Any], *arguments: Any) -> ProcessCall:
        """Call a function in a new process."""
        return self._start_process(lambda: ProcessCall(function, *arguments))

    def wait_for_result(self, call: ProcessCall) -> Any:
        """Return the result of a call in a new process, and stop the process."""
        try:
            return call.result(max(1.0, self.remaining_s()))
        finally:
            self.stop(call)

    def start_gateway(self, gateway: RealGateway) -> RealGateway:
        """Start a real gateway."""
        self._start_process(lambda: gateway)
        gateway.start()
        return gateway

    def _sample_memory(self) -> None:
        """Sample the memory of this process and all of its descendants until the run ends."""
        this_process = psutil.Process()
        while not self._ending.wait(MEMORY_SAMPLE_INTERVAL_S):
            resident_bytes = 0
            for process in [this_process, *this_process.children(recursive=True)]:
                with suppress(psutil.Error):
                    resident_bytes += process.memory_info().rss
            self.peak_memory_mb = max(self.peak_memory_mb, resident_bytes / MB)
            if resident_bytes / MB > self._memory_limit_mb:
                self.exceeded_memory = True
