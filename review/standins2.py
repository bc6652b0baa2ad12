"""Stand-ins for all that a gateway meets, for the cases of the second review.

Hosts, the counter, the discovery agent and clients speak what PROTOCOL-rainturn.md describes, on loopback
addresses. The gateway itself is started with the command of the deploy file. Nothing but the standard library
is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
NULLS = b"$-1\r\n$-1\r\n"
COULD_NOT_RUN, BROKEN, HELD = 2, 1, 0
SEED = "8c1f30d27a5be964"  # of the gateway's random numbers

# The object of the wire page, with the figures of a small deployment.
SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "classes": [
        {
            "credit": 2.0,
            "effect": "retryable",
            "group": "all",
            "hard_limit_ms": 3000.0,
            "late_worth": 0.0,
            "name": "read",
            "stream": False,
            "target_ms": 800.0,
            "window_ms": 5000.0,
        },
        {
            "credit": 2.0,
            "effect": "dedup",
            "group": "all",
            "hard_limit_ms": 6000.0,
            "late_worth": 0.2,
            "name": "sign",
            "stream": False,
            "target_ms": 1500.0,
            "window_ms": 6000.0,
        },
        {
            "credit": 6.0,
            "effect": "fragile",
            "group": "all",
            "hard_limit_ms": 3000.0,
            "late_worth": 0.0,
            "name": "donate",
            "stream": False,
            "target_ms": 1000.0,
            "window_ms": 5000.0,
        },
    ],
    "clients": {"marks_retry": False},
    "discovery": "push",
    "family": "gate",
    "family_info": {
        "cost_after": False,
        "counter_price": 0.02,
        "counter_timeout_ms": 50.0,
        "may_count": True,
        "metering_ms": 0.0,
        "peer_intake": 0.0,
        "units_top": 6,
    },
    "layers": ["petition-nodes"],
    "limits": {
        "conn_idle_ms": 15000.0,
        "connect_timeout_ms": 250.0,
        "max_attempts": 6,
        "max_open": 20000,
        "max_retry_after_ms": 500.0,
        "may_cancel": True,
        "may_duplicate": False,
        "may_probe": True,
        "may_tell": False,
        "retry_after": True,
        "streams_per_conn": 32,
    },
    "localities": ["hall-a", "hall-b", "hall-c"],
    "machine_types": ["std-2c"],
    "me": 0,
    "my_zone": 0,
    "plans": [
        {
            "cap_slack": 0.0,
            "ceiling_burst": 0.0,
            "excess_cost": 0.8,
            "extra_worth": 0.0,
            "name": "spolek",
            "never_over_rate": 0.0,
            "parallel": 2,
            "peak_units": 0.0,
            "per_second": 0.0,
            "price": 1.3,
        },
        {
            "cap_slack": 0.0,
            "ceiling_burst": 0.0,
            "excess_cost": 0.8,
            "extra_worth": 0.0,
            "name": "kampan",
            "never_over_rate": 0.0,
            "parallel": 0,
            "peak_units": 42.0,
            "per_second": 17.0,
            "price": 1.6,
        },
    ],
    "rules": {
        "ask_within_ms": 10000.0,
        "cold_from": 0.26,
        "drain_grace_ms": 1000.0,
        "fall_ms": 1500.0,
        "fall_multiple": 4.0,
        "grace_to_answer_ms": 16.0,
        "warm_within_ms": 17000.0,
    },
    "stats": {"names": ["load_share"], "source": "pull"},
    "tick_ms": 4.0,
    "tier": 0,
    "weight_kind": "nominal",
}


def settings(**changes: Any) -> dict[str, Any]:
    """Return a copy of the settings with top-level keys replaced."""
    return copy.deepcopy(SETTINGS) | changes


class Record:
    """The record of a run: what was sent, answered and run, with the time since the start in seconds.

    Each line is in the file as soon as it is noted, so that a run that is killed leaves its record too.
    """

    def __init__(self, path: Path) -> None:
        self.file, self.started = path.open("w", buffering=1), time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():8.3f} {text}")
        self.file.write(self.lines[-1] + "\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def encode(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def served(value: bytes) -> bytes:
    """Encode a host's good answer."""
    return b"*3\r\n$%d\r\n%s\r\n" % (len(value), value) + NULLS


async def read_command(
    reader: asyncio.StreamReader, on_first_byte: Callable[[], None] = lambda: None
) -> list[bytes] | None:
    """Read a command, or return None at the end of the stream."""
    try:
        await reader.readexactly(1)
        on_first_byte()
        words = []
        for _ in range(int(await reader.readuntil(b"\r\n"))):
            length = await reader.readuntil(b"\r\n")
            words.append((await reader.readexactly(int(length[1:]) + 2))[:-2])
        return words
    except (asyncio.IncompleteReadError, OSError):
        return None


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


def dial_of(server: asyncio.Server) -> str:
    """Return the address at which a server listens, as the list of hosts writes it."""
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


Behaviour = Callable[["Host", list[bytes], asyncio.StreamWriter], Awaitable[None]]


class Host:
    """A host: begins each command when its last byte has come, and answers in the order of the commands."""

    def __init__(self, record: Record, name: str, behaviour: Behaviour | None = None) -> None:
        self.record, self.name, self.behaviour = record, name, behaviour or Host.serve
        self.begun: list[tuple[float, bytes]] = []  # each whole request: when its first byte came, and its id
        self.server: asyncio.Server
        self.dial = ""
        self.work_s = 0.1

    async def start(self, port: int = 0) -> Host:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 23)
        self.dial = dial_of(self.server)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first_byte = 0.0

        def note_first_byte() -> None:
            nonlocal first_byte
            first_byte = self.record.now()

        try:
            while (words := await read_command(reader, note_first_byte)) is not None:
                verb = words[0].upper()
                if verb in (b"API.READ", b"API.WRITE"):
                    self.begun.append((first_byte, words[2]))
                    self.record.note(f"{self.name} begins {words[2].decode()} {words[3].decode()}")
                    await self.behaviour(self, words, writer)
                else:
                    writer.write({b"PING": b"+PONG\r\n"}.get(verb, b"-ERR unknown\r\n"))
        except OSError:
            pass
        finally:
            writer.transport.abort()

    async def serve(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Work for `work_s`, then answer with a value that names the request."""
        await asyncio.sleep(self.work_s)
        writer.write(served(b"value-of-" + words[2]))

    def entry(self, health: str = "in_service", born_ms: float = 0.0, share: float = 1.0) -> dict[str, Any]:
        """Return the host's entry in the list."""
        return {
            "host": self.name,
            "dial": self.dial,
            "site": "hall-a",
            "class": "std-2c",
            "block": 1,
            "health": health,
            "share": share,
            "born_ms": born_ms,
        }


class Counter:
    """The shared counter: adds to named counts, which live for the time that their first call names."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.counts: dict[bytes, tuple[float, float]] = {}  # total and end of life
        self.server: asyncio.Server
        self.dial = ""

    async def start(self) -> Counter:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.dial = dial_of(self.server)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (words := await read_command(reader)) is not None:
            if words[0].upper() == b"ADDGET":
                now = time.monotonic()
                total, ends = self.counts.get(words[1], (0.0, 0.0))
                if now >= ends:
                    total, ends = 0.0, now + min(60_000, int(words[3])) / 1000
                total += float(words[2])
                self.counts[words[1]] = total, ends
                text = b"%.7g" % total
                writer.write(b"$%d\r\n%s\r\n" % (len(text), text))
            else:
                writer.write(b"+PONG\r\n")
        writer.transport.abort()


class Agent:
    """The discovery agent: answers with what it has, and holds a watch until there is something newer."""

    def __init__(self, record: Record, *hosts: Host) -> None:
        self.record, self.version = record, 1
        self.entries = {host.name: (1, host.entry()) for host in hosts}  # version of the last change, entry
        self.changed = asyncio.Event()
        self.delay_s = 0.0  # how late each answer is
        self.server: asyncio.Server
        self.dial = ""

    async def start(self) -> Agent:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.dial = dial_of(self.server)
        return self

    def change(self, *entries: dict[str, Any]) -> None:
        """Give the list these entries as its next version."""
        self.version += 1
        for entry in entries:
            self.entries[entry["host"]] = self.version, entry
            self.record.note(f"discovery: version {self.version}: {entry['host']} {entry['health']}")
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.version, "whole": True, "hosts": [entry for _, entry in self.entries.values()]}

    async def _answer(self, path: str) -> dict[str, Any]:
        if "index=" not in path:
            return self.whole()
        query = dict(part.split("=") for part in path.partition("?")[2].split("&"))
        index = int(query["index"])
        if index >= self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query.get("wait", "0")) / 1000)
        changed = [entry for version, entry in self.entries.values() if version > index]
        return {"seq": self.version, "whole": False, "hosts": changed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path, asked_at = head.split()[1].decode(), self.record.now()
                answer = await self._answer(path)
                await asyncio.sleep(self.delay_s)
                took = self.record.now() - asked_at
                self.record.note(f"discovery answers {path} after {took:.2f} s: version {answer['seq']}")
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.transport.abort()


class Gateway:
    """One gateway, started with the `run` command of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str = "n0") -> None:
        self.record, self.name = record, name
        self.folder = folder / name
        (self.folder / "tmp").mkdir(parents=True)
        self.log = self.folder / "log.txt"
        self.process: asyncio.subprocess.Process
        self.address = self.control = ("", 0)

    async def start(
        self,
        agent: Agent,
        counter: Counter,
        wire: dict[str, Any],
        memory_mb: float = 128,
        sockets: int = 384,
    ) -> Gateway:
        """Start the program and wait until it is ready to serve."""
        config = {
            "name": self.name,
            "listen": "127.0.0.1:0",
            "control": "127.0.0.1:0",
            "discovery": agent.dial,
            "counter": counter.dial,
            "seed": SEED,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": agent.whole(),
            "settings": wire,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        ours = ("EDGE_", "PYTHONPATH")
        environment = {key: value for key, value in os.environ.items() if not key.startswith(ours)}
        environment |= {"EDGE_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")}
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.address = self._address(await self._log_line(f"{self.name}: listening on "))
        self.control = self._address(await self._log_line("control: listening on "))
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            client = await Client.connect(self.address)
            await client.send(encode(b"PING"))
            answer = await client.answer(2)
            client.close()
            if answer == b"+PONG":
                self.record.note(f"{self.name} is ready")
                return self
            await asyncio.sleep(0.05)
        raise RuntimeError("the gateway did not become ready")

    async def _log_line(self, text: str) -> str:
        for _ in range(1000):
            for line in self.log.read_text().splitlines():
                if text in line:
                    return line
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.02)
        raise RuntimeError(f"the gateway did not start: {self.log.read_text()}")

    @staticmethod
    def _address(line: str) -> tuple[str, int]:
        host, _, port = line.split()[-1].rpartition(":")
        return host, int(port)

    async def call(self, path: str, method: str = "GET") -> tuple[int, str]:
        """Make an operators' call."""
        reader, writer = await asyncio.open_connection(*self.control)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: gateway\r\n\r\n".encode())
        head, _, body = (await asyncio.wait_for(reader.read(), 5)).decode().partition("\r\n\r\n")
        writer.close()
        self.record.note(f"operator: {method} {path}: {head.split()[1]}")
        return int(head.split()[1]), body

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        self.record.note(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the program if it still runs, and keep its log in the record."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        lines = self.log.read_text(errors="replace").splitlines()
        for line in lines[:40] + (["..."] + lines[-40:] if len(lines) > 80 else lines[40:]):
            self.record.note(f"log of {self.name}: {line[:300]}")


class Client:
    """One connection of the front. What it has received can be read also after a reset."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.loop = sock, asyncio.get_running_loop()
        self.reader = asyncio.StreamReader(limit=1 << 23)
        self.receiving = self.loop.create_task(self._receive())

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Client:
        """Open a connection."""
        sock = socket.socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock)

    async def _receive(self) -> None:
        with contextlib.suppress(OSError):
            while data := await self.loop.sock_recv(self.sock, 1 << 16):
                self.reader.feed_data(data)
        self.reader.feed_eof()

    async def send(self, data: bytes) -> None:
        """Write bytes; a failure shows when the answer is read."""
        with contextlib.suppress(OSError):
            await self.loop.sock_sendall(self.sock, data)

    def close(self) -> None:
        """Close the connection."""
        self.receiving.cancel()
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()

    async def answer(self, limit_s: float) -> bytes | None:
        """Return the next answer: an error or status line, or `$` and a value; None if none comes in time.

        Raises EOFError if the connection ends before the answer is whole.
        """
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(self._answer(), limit_s)
        return None

    async def _answer(self) -> bytes:
        try:
            line = (await self.reader.readuntil(b"\r\n"))[:-2]
            if line[:1] == b"$" and line != b"$-1":
                return b"$" + (await self.reader.readexactly(int(line[1:]) + 2))[:-2]
            return line
        except asyncio.IncompleteReadError as error:
            raise EOFError(f"closed after {len(error.partial)} bytes of the answer") from None


def request(
    request_id: bytes,
    class_name: str = "read",
    time_limit_ms: int = 3000,
    customer: int = 7,
    plan: str = "kampan",
    body: bytes | None = None,
) -> bytes:
    """Encode a request that takes one unit."""
    verb = b"API.READ" if class_name == "read" else b"API.WRITE"
    key = f",k={request_id.decode()}" if class_name == "sign" else ""
    fields = f"c={class_name},t={plan},d={time_limit_ms}{key},units=1,spread=2,first=0".encode()
    return encode(verb, b"%016x" % customer, request_id, fields, *([] if body is None else [body]))


Case = Callable[[Record, Path, bool], Awaitable[list[str]]]


def run_case(case: Case, record_path: Path, limit_s: float = 115.0) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    The case gets the record, a temporary folder and whether there is trouble, and returns what was broken.
    """
    record, trouble = Record(record_path), os.environ.get("TROUBLE", "1") != "0"
    temporary = Path(tempfile.mkdtemp(prefix="rainturn-review-"))
    record.note(f"trouble: {trouble}")
    status = COULD_NOT_RUN
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the gateway is ended in any case
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, temporary, trouble), limit_s))
        for line in broken:
            record.note(f"BROKEN: {line}")
        status = BROKEN if broken else HELD
    except (Exception, KeyboardInterrupt) as error:
        record.note(f"the case could not run: {error!r}")
    finally:
        record.note(f"exit {status}")
        record.close()
        shutil.rmtree(temporary, ignore_errors=True)
    print(
        "\n".join(line for line in record.lines if "BROKEN" in line or "exit" in line or "could not" in line)
    )
    sys.stdout.flush()
    os._exit(status)  # connections that are still open need no further care
