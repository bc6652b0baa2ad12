"""Processes of the scale run: each plays one role on its own event loop and answers commands over a pipe."""

from __future__ import annotations

import asyncio
import logging
import multiprocessing
import signal
import time
import traceback
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any, Protocol

import psutil
import uvloop

ANSWER_TIMEOUT_S = 60.0  # how long a role may take for an answer, unless the caller says otherwise
STOP_TIMEOUT_S = 3.0


class Role(Protocol):
    """What a worker does: `start` returns what others need to know, `handle` answers a command."""

    async def start(self) -> Any:
        """Begin."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command and return its answer."""

    async def stop(self) -> None:
        """End."""


@dataclass(frozen=True)
class RemoteFailure:
    """A command failed in the worker; the text says how."""

    text: str


class WorkerFailed(Exception):
    """A worker ended or could not carry out a command."""


async def _serve(role: Role, pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    over = asyncio.Event()
    tasks: set[asyncio.Task[None]] = set()

    async def carry_out(command: Any) -> None:
        try:
            answer = await role.handle(command)
        except Exception:
            answer = RemoteFailure(traceback.format_exc())
        with suppress(OSError):
            pipe.send(answer)

    def readable() -> None:
        try:
            command = pipe.recv()
        except (EOFError, OSError):
            return over.set()
        if command is None:
            return over.set()
        task = loop.create_task(carry_out(command))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    pipe.send(await role.start())
    loop.add_reader(pipe.fileno(), readable)
    await over.wait()
    loop.remove_reader(pipe.fileno())
    await role.stop()


def _main(make: Callable[[], Role], pipe: Connection) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the run's own process ends its workers
    logging.disable(logging.WARNING)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(_serve(make(), pipe))
        except Exception:
            with suppress(OSError):
                pipe.send(RemoteFailure(traceback.format_exc()))


def close_pipe(pipe: Connection) -> None:
    """Close a pipe; another thread of an interrupted run may wait on it, or have closed it."""
    with suppress(OSError):
        pipe.close()


class Worker:
    """A role in a process of its own, which ends with the run, however that ends."""

    def __init__(self, make: Callable[[], Role]) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, other = context.Pipe()
        self.process = context.Process(target=_main, args=(make, other), daemon=True)
        self.process.start()
        other.close()
        self.figures = psutil.Process(self.process.pid)
        self.told: Any = None

    def ready(self) -> Any:
        """Wait until the role has begun, and return what it tells."""
        self.told = self.receive()
        return self.told

    def send(self, command: Any) -> None:
        """Give a command; `receive` returns its answer. Answers of one worker may overtake each other."""
        try:
            self.pipe.send(command)
        except OSError:
            raise WorkerFailed(f"worker {self.process.pid} has ended") from None

    def receive(self, timeout_s: float = ANSWER_TIMEOUT_S) -> Any:
        """Wait for the next answer."""
        try:
            if not self.pipe.poll(timeout_s):
                raise WorkerFailed(f"worker {self.process.pid} gave no answer within {timeout_s:.0f} s")
            answer = self.pipe.recv()
        except (EOFError, OSError):
            raise WorkerFailed(f"worker {self.process.pid} has ended") from None
        if isinstance(answer, RemoteFailure):
            raise WorkerFailed(answer.text)
        return answer

    def ask(self, command: Any, timeout_s: float = ANSWER_TIMEOUT_S) -> Any:
        """Give a command and wait for its answer."""
        self.send(command)
        return self.receive(timeout_s)

    def memory_mb(self) -> float:
        """Memory that is this process's own, in MB (2^20 bytes)."""
        return float(self.figures.memory_full_info().uss) / (1 << 20)

    def stop(self) -> None:
        """End the process: as it would, and by force if it does not."""
        with suppress(OSError):
            self.pipe.send(None)
        self.process.join(STOP_TIMEOUT_S)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()
        close_pipe(self.pipe)


def ask_all(workers: Sequence[Worker], command: Any, timeout_s: float = ANSWER_TIMEOUT_S) -> list[Any]:
    """Give one command to several workers at once and collect their answers."""
    for worker in workers:
        worker.send(command)
    until = time.monotonic() + timeout_s
    return [worker.receive(max(0.1, until - time.monotonic())) for worker in workers]


def _call(function: Callable[..., Any], arguments: tuple[Any, ...], pipe: Connection) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    logging.disable(logging.WARNING)
    try:
        answer = function(*arguments)
    except Exception:
        answer = RemoteFailure(traceback.format_exc())
    with suppress(OSError):
        pipe.send(answer)


class ProcessCall:
    """A function called in a new process, which ends with it or when it is stopped."""

    def __init__(self, function: Callable[..., Any], *arguments: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, other = context.Pipe(duplex=False)
        self.process = context.Process(target=_call, args=(function, arguments, other), daemon=True)
        self.process.start()
        other.close()

    def result(self, timeout_s: float) -> Any:
        """Wait for what the function returns."""
        try:
            if not self.pipe.poll(timeout_s):
                raise WorkerFailed(f"no result within {timeout_s:.0f} s")
            answer = self.pipe.recv()
        except (EOFError, OSError):
            raise WorkerFailed("a process ended without a result") from None
        if isinstance(answer, RemoteFailure):
            raise WorkerFailed(answer.text)
        return answer

    def stop(self) -> None:
        """End the process."""
        if self.process.is_alive():
            self.process.kill()
        self.process.join()
        close_pipe(self.pipe)
