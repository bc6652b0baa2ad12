"""The program as a process of its own: its configuration file, its start, its log, its descriptors."""

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
    """Write a configuration without hosts, with what is changed in it; returns its path."""
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
    """Start the program; returns it once it listens, with its address for clients."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainturn.node",
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": path} | environment,
    )
    return process, parse_address((await log_line(process, b"listening")).split()[-1])


async def log_line(process: asyncio.subprocess.Process, word: bytes) -> str:
    """The next line of the log that holds a word."""
    assert process.stderr is not None
    line: bytes = await soon(process.stderr.readline())
    while word not in line:
        assert line, "it ended"
        line = await soon(process.stderr.readline())
    return str(line, "ascii")


@contextlib.asynccontextmanager
async def program(folder: Path, **change: Any) -> AsyncIterator[tuple[Any, tuple[str, int]]]:
    """The program with a configuration of its own, and its address for clients; it is killed at the end."""
    process, address = await started(config_file(folder, **change))
    try:
        yield process, address
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def descriptors(process: asyncio.subprocess.Process) -> set[int]:
    """The descriptors that a process holds."""
    return {int(name) for name in os.listdir(f"/proc/{process.pid}/fd")}


@contextlib.contextmanager
def no_more_descriptors(process: asyncio.subprocess.Process) -> Any:
    """For a while every call of a process that makes a descriptor fails with EMFILE."""
    usual = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (0, usual[1]))
    try:
        yield
    finally:
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, usual)
