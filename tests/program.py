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
from tests.sockets import WIRE, soon


def config_file(folder: Path, **change: Any) -> str:
    """Write a configuration without hosts, in which `change` replaces top-level keys; returns its path."""
    source = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "counter": "127.0.0.1:1",
        "seed": "2a",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": WIRE,
        "known": {"seq": 1, "whole": True, "hosts": []},
    } | change
    path = folder / "config.json"
    path.write_text(json.dumps(source))
    return str(path)


async def started(path: str, **environment: str) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """Start the program and wait until it listens; returns the process and its address for clients."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainturn.node",
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": path} | environment,
    )
    return process, parse_address((await log_line(process, b"listening")).split()[-1])


async def log_line(process: asyncio.subprocess.Process, word: bytes) -> str:
    """Return the next log line that contains `word`; fails if the process ends before that."""
    assert process.stderr is not None
    line: bytes = await soon(process.stderr.readline())
    while word not in line:
        assert line, "the process ended"
        line = await soon(process.stderr.readline())
    return str(line, "ascii")


@contextlib.asynccontextmanager
async def program(folder: Path, **change: Any) -> AsyncIterator[tuple[Any, tuple[str, int]]]:
    """Run the program with its own configuration; yields the process and its address for clients.

    The process is killed at the end.
    """
    process, address = await started(config_file(folder, **change))
    try:
        yield process, address
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def descriptors(process: asyncio.subprocess.Process) -> set[int]:
    """Return the open descriptors of a process."""
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
