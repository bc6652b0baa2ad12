"""A real gateway: `run` of deploy/balancer.toml as a child process with its own limits and configuration."""

from __future__ import annotations

import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

import rainturn
from rainturn.emulator.traffic import LOOPBACK, format_address
from rainturn.emulator.workload import wire_settings

ROOT = Path(rainturn.__file__).parent.parent
MEMORY_MB = 192
SOCKETS = 1024
STOP_TIMEOUT_S = 5.0  # a planned end takes this long at most; then the process is killed
BUILT_PYTHON = ".venv/bin/python"


def run_command() -> str:
    """The deploy file's `run`; with this interpreter while its build is missing."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    if not (ROOT / BUILT_PYTHON).exists():
        command = command.replace(BUILT_PYTHON, sys.executable)
    return str(command)


def described_command() -> str:
    """That command as a result names it: an interpreter in place of the built one goes by its plain name."""
    return run_command().replace(sys.executable, "python")


def free_port() -> int:
    """A loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


@dataclass(frozen=True)
class ResourceUsage:
    """Processor time in s and memory of its own in MB that a process has used so far."""

    cpu_s: float
    memory_mb: float


def processor_time_s(pid: int) -> float:
    """Processor time of a process so far, over its threads, in s.

    From the scheduler's own count in ns: `psutil` gives it in ticks of 10 ms, as much as an idle gateway uses
    in ten seconds.
    """
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9


class RealGateway:
    """One child process; `start` it, and `stop` it in any case."""

    def __init__(
        self, number: int, gateways: int, discovery: tuple[str, int], counter: tuple[str, int], seed: int
    ) -> None:
        self.number = number
        self.address = (LOOPBACK, free_port())
        self.folder = Path(tempfile.mkdtemp(prefix="rainturn-emulator-"))
        self.source: dict[str, Any] = {
            "name": f"n{number}",
            "listen": format_address(self.address),
            "discovery": format_address(discovery),
            "counter": format_address(counter),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "settings": wire_settings(number, gateways),
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.figures: psutil.Process | None = None

    def start(self) -> None:
        """Start the program as the platform does, with its limits, file and environment."""
        config, scratch = self.folder / "config.json", self.folder / "tmp"
        config.write_text(json.dumps(self.source))
        scratch.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(scratch),
            "EDGE_NAME": self.source["name"],
            "EDGE_LISTEN": self.source["listen"],
            "EDGE_DISCOVERY": self.source["discovery"],
            "EDGE_CONFIG": str(config),
        }
        with (self.folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C goes to the run's own process, which ends this one
            )
        self.figures = psutil.Process(self.process.pid)
        self.figures.rlimit(psutil.RLIMIT_NOFILE, (SOCKETS, SOCKETS))

    def resource_usage(self) -> ResourceUsage:
        """What the process has used so far."""
        if self.figures is None:
            return ResourceUsage(0.0, 0.0)
        return ResourceUsage(
            processor_time_s(self.figures.pid), self.figures.memory_full_info().uss / (1 << 20)
        )

    def log(self) -> str:
        """What the program has written."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def stop(self) -> None:
        """End the process, and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
