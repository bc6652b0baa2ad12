"""Processes of a scale run. Each runs one role on its own event loop and answers commands over a pipe."""

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

ANSWER_TIMEOUT_S = 60.0  # default limit for the time until a role answers
STOP_TIMEOUT_S = 3.0  # then a process is killed


class Role(Protocol):
    """What a process runs: it starts, answers commands, and stops."""

    async def start(self) -> Any:
        """Start the role and return data that other processes need, or None."""

    async def handle(self, command: Any) -> Any:
        """Carry out a command and return its answer."""

    async def stop(self) -> None:
        """Stop the role."""


@dataclass(frozen=True)
class RemoteFailure:
    """The answer of a process in which a command or call failed, with the traceback as text."""

    text: str


class WorkerFailed(Exception):
    """A worker has ended, did not answer in time, or failed to carry out a command."""


async def _serve(role: Role, pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    tasks: set[asyncio.Task[None]] = set()

    async def answer_command(command: Any) -> None:
        try:
            answer = await role.handle(command)
        except Exception:
            answer = RemoteFailure(traceback.format_exc())
        with suppress(OSError):
            pipe.send(answer)

    def receive_command() -> None:
        try:
            command = pipe.recv()
        except (EOFError, OSError):
            return stopped.set()
        if command is None:
            return stopped.set()
        task = loop.create_task(answer_command(command))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    pipe.send(await role.start())
    loop.add_reader(pipe.fileno(), receive_command)
    await stopped.wait()
    loop.remove_reader(pipe.fileno())
    await role.stop()


def _main(make_role: Callable[[], Role], pipe: Connection) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the main process of the run ends its workers
    logging.disable(logging.WARNING)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(_serve(make_role(), pipe))
        except Exception:
            with suppress(OSError):
                pipe.send(RemoteFailure(traceback.format_exc()))


def close_pipe(pipe: Connection) -> None:
    """Close a pipe. Another thread of an interrupted run may be waiting on it or may have closed it."""
    with suppress(OSError):
        pipe.close()


class Worker:
    """A role in its own process, which ends with the run in any case."""

    def __init__(self, make_role: Callable[[], Role]) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, worker_pipe = context.Pipe()
        self.process = context.Process(target=_main, args=(make_role, worker_pipe), daemon=True)
        self.process.start()
        worker_pipe.close()
        self.process_info = psutil.Process(self.process.pid)
        self.start_result: Any = None

    def ready(self) -> Any:
        """Wait until the role has started, and return what its `start` returned."""
        self.start_result = self.receive()
        return self.start_result

    def send(self, command: Any) -> None:
        """Send a command; `receive` returns its answer.

        The answers of one worker may come in another order than its commands. Raises `WorkerFailed` if the
        worker has ended.
        """
        try:
            self.pipe.send(command)
        except OSError:
            raise WorkerFailed(f"worker {self.process.pid} has ended") from None

    def receive(self, timeout_s: float = ANSWER_TIMEOUT_S) -> Any:
        """Wait for the next answer and return it.

        Raises `WorkerFailed` if no answer comes in time, the worker has ended, or the command failed.
        """
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
        """Send a command, wait for its answer and return it."""
        self.send(command)
        return self.receive(timeout_s)

    def memory_mb(self) -> float:
        """Return the memory that only this process uses, in MB (2^20 bytes)."""
        return float(self.process_info.memory_full_info().uss) / (1 << 20)

    def stop(self) -> None:
        """End the process; kill it if it does not end in time."""
        with suppress(OSError):
            self.pipe.send(None)
        self.process.join(STOP_TIMEOUT_S)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()
        close_pipe(self.pipe)


def ask_all(workers: Sequence[Worker], command: Any, timeout_s: float = ANSWER_TIMEOUT_S) -> list[Any]:
    """Send one command to several workers at once and return their answers, in the order of the workers."""
    for worker in workers:
        worker.send(command)
    deadline = time.monotonic() + timeout_s
    return [worker.receive(max(0.1, deadline - time.monotonic())) for worker in workers]


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
    """A function call in a new process, which ends with the call or when it is stopped."""

    def __init__(self, function: Callable[..., Any], *arguments: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, worker_pipe = context.Pipe(duplex=False)
        self.process = context.Process(target=_call, args=(function, arguments, worker_pipe), daemon=True)
        self.process.start()
        worker_pipe.close()

    def result(self, timeout_s: float) -> Any:
        """Wait for the return value of the function.

        Raises `WorkerFailed` if it does not come in time, the process has ended, or the function failed.
        """
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
        """Kill the process if it is still running."""
        if self.process.is_alive():
            self.process.kill()
        self.process.join()
        close_pipe(self.pipe)
