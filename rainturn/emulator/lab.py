"""The processes of one scale run: started here, watched for memory, and ended with the run."""

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
MEMORY_PART = 0.5  # of the machine's memory that a run may hold
MOST_PROCESSES = 200
SAMPLE_S = 0.25


T = TypeVar("T", Worker, ProcessCall, RealGateway)


class OverBudget(Exception):
    """The run would take more memory, processes or time than it may."""


@dataclass(frozen=True)
class Options:
    """What a scale run is asked for: sizes, load, and how long one figure is measured, in s."""

    gateways: int
    hosts: int
    tenants: int
    requests_per_second: float
    changes_per_second: float
    seed: int
    quick: bool
    window_s: float


class Lab:
    """Starts processes and ends each of them, whatever happens."""

    def __init__(self, options: Options, say: Callable[[str], None], within_s: float) -> None:
        self.options = options
        self.settle_s = min(1.0, options.window_s / 4)  # how long what has been begun may take to go evenly
        self._say = say
        self.began = time.monotonic()
        self.until = self.began + within_s
        self.processes = 0  # started so far
        self.peak_mb = 0.0
        self.over_memory = False
        self._limit_mb = MEMORY_PART * psutil.virtual_memory().total / MB
        self._running: dict[int, Worker | ProcessCall | RealGateway] = {}
        self._lock = threading.Lock()
        self._over = threading.Event()
        self._sampler = threading.Thread(target=self._sample, daemon=True)

    def __enter__(self) -> Lab:
        self._sampler.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        with self._lock:
            self._over.set()
        self._sampler.join()
        for started in list(self._running.values()):
            started.stop()
        self._running.clear()

    def say(self, text: str) -> None:
        """Show how far the run is."""
        self._say(f"[{time.monotonic() - self.began:6.1f} s] {text}")

    @property
    def closed(self) -> bool:
        """Whether the run is being ended."""
        return self._over.is_set()

    def left_s(self) -> float:
        """How long the run may still take."""
        return self.until - time.monotonic()

    def check(self) -> None:
        """Raise `OverBudget` when the run has used up its time or memory."""
        if self.over_memory:
            raise OverBudget(f"over {self._limit_mb:.0f} MB")
        if self.left_s() <= 0:
            raise OverBudget("out of time")

    def _begin(self, make: Callable[[], T]) -> T:
        """Start one process, if the run may have one more."""
        self.check()
        with self._lock:
            if self._over.is_set():
                raise OverBudget("the run is over")
            if len(self._running) >= MOST_PROCESSES:
                raise OverBudget(f"over {MOST_PROCESSES} processes")
            started = make()
            self._running[id(started)] = started
            self.processes += 1
        return started

    def end(self, *started: Worker | ProcessCall | RealGateway) -> None:
        """End processes before the run ends."""
        for process in started:
            process.stop()
            self._running.pop(id(process), None)

    @contextmanager
    def worker(self, make: Callable[[], Role]) -> Iterator[Worker]:
        """A worker, ready, for as long as the block takes."""
        worker = self.start(make)
        try:
            worker.ready()
            yield worker
        finally:
            self.end(worker)

    def start(self, make: Callable[[], Role]) -> Worker:
        """Start a worker; the caller waits for `ready`."""
        return self._begin(lambda: Worker(make))

    def fresh(self, function: Callable[..., Any], *arguments: Any) -> ProcessCall:
        """Call a function in a new process."""
        return self._begin(lambda: ProcessCall(function, *arguments))

    def result(self, call: ProcessCall) -> Any:
        """What a call in a new process returns; the process ends."""
        try:
            return call.result(max(1.0, self.left_s()))
        finally:
            self.end(call)

    def real(self, gateway: RealGateway) -> RealGateway:
        """Start a real gateway."""
        self._begin(lambda: gateway)
        gateway.start()
        return gateway

    def _sample(self) -> None:
        """Watch the memory of this process and all that it has started."""
        own = psutil.Process()
        while not self._over.wait(SAMPLE_S):
            held = 0
            for process in [own, *own.children(recursive=True)]:
                with suppress(psutil.Error):
                    held += process.memory_info().rss
            self.peak_mb = max(self.peak_mb, held / MB)
            if held / MB > self._limit_mb:
                self.over_memory = True
