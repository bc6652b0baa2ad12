"""Helpers to run the program as a separate process: configuration file, start, log and descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from rainturn.node.host_list import parse_address
from tests.sockets import DEFAULT_SETTINGS, with_timeout


def write_config(folder: Path, **changes: Any) -> str:
    """Write a configuration without hosts and return its path; `changes` replace top-level keys."""
    source = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "counter": "127.0.0.1:1",
        "seed": "2a",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": DEFAULT_SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": []},
    } | changes
    path = folder / "config.json"
    path.write_text(json.dumps(source))
    return str(path)


async def start_program(path: str, **environment: str) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """Start the program and wait until it listens; return the process and its address for clients."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainturn.node",
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": path} | environment,
    )
    return process, parse_address((await next_log_line(process, b"listening")).split()[-1])


async def next_log_line(process: asyncio.subprocess.Process, word: bytes) -> str:
    """Return the next log line that contains `word`; fail if the process ends before that."""
    assert process.stderr is not None
    line: bytes = await with_timeout(process.stderr.readline())
    while word not in line:
        assert line, "the process ended"
        line = await with_timeout(process.stderr.readline())
    return str(line, "ascii")


@contextlib.asynccontextmanager
async def running_program(folder: Path, **changes: Any) -> AsyncIterator[tuple[Any, tuple[str, int]]]:
    """Run the program with its own configuration; yield the process and its address for clients.

    The process is killed at the end of the context.
    """
    process, address = await start_program(write_config(folder, **changes))
    try:
        yield process, address
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def open_descriptors(process: asyncio.subprocess.Process) -> set[int]:
    """Return the numbers of the open descriptors of a process."""
    return {int(name) for name in os.listdir(f"/proc/{process.pid}/fd")}


@contextlib.contextmanager
def no_more_descriptors(process: asyncio.subprocess.Process) -> Any:
    """Make each system call of a process that needs a new descriptor fail with EMFILE inside the context."""
    previous = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (0, previous[1]))
    try:
        yield
    finally:
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, previous)
