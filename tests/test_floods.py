"""One client sends commands at full speed: other clients are answered in time, and memory stays bounded."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from rainturn.node.resp import encode_array
from tests.program import running_program
from tests.sockets import Client, RespServer, host_entry, run, success_answer
from tests.test_memory_limits import peak_resident_mb

MEMORY_MB, DESCRIPTORS = 48, 256
FLOOD_S = 5.0
COMMAND_COUNT = 150_000
TIME_LIMIT_MS = 1000
LATE_ANSWER_S = 0.5  # later than this after its time a request counts as lost
FIELDS = b"c=read,t=basic,d=1000,units=1,spread=1,first=0"

Flood = Callable[[int], bytes]  # returns the command with this number


def _ping(number: int) -> bytes:
    return b"*1\r\n$4\r\nPING\r\n"


def _request_of_one_customer(number: int) -> bytes:
    return encode_array([b"API.READ", b"00000000000000aa", b"one-%d" % number, FIELDS])


def _request_of_a_new_customer(number: int) -> bytes:
    return encode_array([b"API.READ", b"%016x" % number, b"new-%d" % number, FIELDS])


def _unsound_request(number: int) -> bytes:
    return encode_array([b"API.READ", b"%016x" % number, b"bad-%d" % number, b"c=none"])


def _unparsable_bytes(number: int) -> bytes:
    return b"%d\r\n" % number


FLOODS: list[Flood] = [
    _ping,
    _request_of_one_customer,
    _request_of_a_new_customer,
    _unsound_request,
    _unparsable_bytes,
]


class Flooder:
    """Sends commands on one connection from a thread of its own; another one reads the replies.

    When the gateway closes the connection, it goes on with another one.
    """

    def __init__(self, address: tuple[str, int], commands: bytes) -> None:
        self.address, self.commands = address, commands
        self.stopped = threading.Event()
        self.sent_bytes = 0
        self.thread = threading.Thread(target=self._run)

    def _run(self) -> None:
        while not self.stopped.is_set() and self.sent_bytes < len(self.commands):
            with contextlib.suppress(OSError), socket.create_connection(self.address) as sock:
                reader = threading.Thread(target=self._read, args=(sock,))
                reader.start()
                try:
                    self._send(sock)
                finally:
                    with contextlib.suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)
                    reader.join()

    def _send(self, sock: socket.socket) -> None:
        while not self.stopped.is_set() and self.sent_bytes < len(self.commands):
            self.sent_bytes += sock.send(self.commands[self.sent_bytes : self.sent_bytes + (1 << 16)])

    def _read(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while sock.recv(1 << 16):
                pass


async def _measure_others(address: tuple[str, int], ends_at: float) -> list[float]:
    """Send a request of another customer every 20 ms; return how long each answer took, in s."""
    loop, taken_s = asyncio.get_running_loop(), list[float]()
    while loop.time() < ends_at:
        client = await Client.connect(address)
        started = loop.time()
        client.send_request(b"other-%d" % len(taken_s), time_limit_ms=TIME_LIMIT_MS)
        await client.read_answer()
        taken_s.append(loop.time() - started)
        client.writer.close()
        await asyncio.sleep(0.02)
    return taken_s


@pytest.mark.parametrize("flood", FLOODS, ids=lambda flood: flood.__name__.strip("_"))
def test_a_flood_on_one_connection_leaves_others_their_turn(flood: Flood, tmp_path: Path) -> None:
    """Guards against a connection that takes the event loop, and against state that grows with each name."""

    async def main() -> None:
        hosts = [await RespServer(lambda words: success_answer()).start() for _ in range(3)]
        counter = await RespServer(lambda words: b"$1\r\n1\r\n").start()
        known = {"seq": 1, "whole": True, "hosts": [host_entry(f"h{n}", h.dial) for n, h in enumerate(hosts)]}
        limits = {"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
        commands = b"".join(flood(number) for number in range(COMMAND_COUNT))
        async with running_program(tmp_path, known=known, limits=limits, counter=counter.dial) as (
            process,
            address,
        ):
            before_mb = peak_resident_mb(process.pid)
            flooder = Flooder(address, commands)
            flooder.thread.start()
            try:
                ends_at = asyncio.get_running_loop().time() + FLOOD_S
                taken_s = sorted(await _measure_others(address, ends_at))
            finally:
                flooder.stopped.set()
                await asyncio.get_running_loop().run_in_executor(None, flooder.thread.join)
            peak_mb = peak_resident_mb(process.pid)
            print(
                f"{flood.__name__}: {flooder.sent_bytes / 1e6:.1f} MB sent, {len(taken_s)} others, median"
                f" {taken_s[len(taken_s) // 2]:.3f} s, longest {taken_s[-1]:.3f} s, {before_mb:.1f} to"
                f" {peak_mb:.1f} MB"
            )
            assert process.returncode is None
            assert peak_mb <= MEMORY_MB
            assert taken_s[-1] <= TIME_LIMIT_MS / 1000 + LATE_ANSWER_S

    run(main())
