"""A real gateway: a child process that runs the command `run` of deploy/balancer.toml with its own limits."""

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
STOP_TIMEOUT_S = 5.0  # limit for an orderly stop; then the process is killed
BUILT_PYTHON = ".venv/bin/python"


def run_command() -> str:
    """Return the command `run` of the deploy file, with this interpreter if the built one is missing."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    if not (ROOT / BUILT_PYTHON).exists():
        command = command.replace(BUILT_PYTHON, sys.executable)
    return str(command)


def described_command() -> str:
    """Return the command as shown in results: an interpreter in place of the built one is named `python`."""
    return run_command().replace(sys.executable, "python")


def free_port() -> int:
    """Return a loopback port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


@dataclass(frozen=True)
class ResourceUsage:
    """Processor time of a process so far, in s, and the memory that only this process uses, in MB."""

    cpu_s: float
    memory_mb: float


def processor_time_s(pid: int) -> float:
    """Return the processor time of all threads of a process so far, in s.

    The value comes from the scheduler, which counts in ns. `psutil` counts in ticks of 10 ms, which is as
    much as an idle gateway uses in ten seconds.
    """
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9


class RealGateway:
    """One gateway process. The caller starts it with `start` and must always call `stop`."""

    def __init__(
        self, number: int, gateways: int, discovery: tuple[str, int], counter: tuple[str, int], seed: int
    ) -> None:
        self.number = number
        self.address = (LOOPBACK, free_port())
        self.folder = Path(tempfile.mkdtemp(prefix="rainturn-emulator-"))
        self.config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": format_address(self.address),
            "discovery": format_address(discovery),
            "counter": format_address(counter),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "settings": wire_settings(number, gateways),
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.process_info: psutil.Process | None = None

    def start(self) -> None:
        """Start the program as the platform does, with limits, a configuration file and an environment."""
        config_file, temporary_folder = self.folder / "config.json", self.folder / "tmp"
        config_file.write_text(json.dumps(self.config))
        temporary_folder.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(temporary_folder),
            "EDGE_NAME": self.config["name"],
            "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"],
            "EDGE_CONFIG": str(config_file),
        }
        with (self.folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C reaches the main process of the run, which ends this one
            )
        self.process_info = psutil.Process(self.process.pid)
        self.process_info.rlimit(psutil.RLIMIT_NOFILE, (SOCKETS, SOCKETS))

    def resource_usage(self) -> ResourceUsage:
        """Return the resources that the process has used so far; zeros before its start."""
        if self.process_info is None:
            return ResourceUsage(0.0, 0.0)
        return ResourceUsage(
            processor_time_s(self.process_info.pid), self.process_info.memory_full_info().uss / (1 << 20)
        )

    def log(self) -> str:
        """Return the output of the program so far."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def stop(self) -> None:
        """Stop the process, by force if it takes too long, and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
