"""A process stays within its memory while a third of its descriptors are clients that hold much of it.

Each test runs the program with the smallest and with a usual memory limit of a deployment.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path

import pytest

from rainturn.node.resp import encode_array
from tests.program import running_program
from tests.sockets import Client, RespServer, host_entry, run, success_answer

HOST_COUNT = 12
PIECE_BYTES = 1 << 16
LONG_VALUE = b"0123456789abcdef" * (1 << 18)  # 4 MiB
HOLD_S = 4.0  # how long the clients hold on
FIELDS = b"c=%s,t=basic,d=3000,units=1,spread=1,first=0"
LIMITS = [(32, 256), (32, 1024), (80, 1024)]  # MB and descriptors

Behaviour = Callable[[socket.socket, int], Coroutine[None, None, None]]


def peak_resident_mb(pid: int) -> float:
    """Return the most memory that a process has held in RAM."""
    lines = Path("/proc", str(pid), "status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM"))


def _encode(request_id: bytes, class_name: bytes, *body: bytes, more_fields: bytes = b"") -> bytes:
    verb = b"API.READ" if class_name == b"read" else b"API.WRITE"
    return encode_array([verb, b"00000000b4d65521", request_id, FIELDS % class_name + more_fields, *body])


async def _send(sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):  # the gateway has refused the command and closed
        await asyncio.get_running_loop().sock_sendall(sock, data)


async def _read_long_values_slowly(sock: socket.socket, number: int) -> None:
    await _send(sock, _encode(b"long-%d" % number, b"read"))
    while await asyncio.get_running_loop().sock_recv(sock, 1 << 14):
        await asyncio.sleep(0.5)


async def _read_many_values_late(sock: socket.socket, number: int) -> None:
    await _send(sock, b"".join(_encode(b"value-%d-%d" % (number, n), b"read") for n in range(32)))


async def _stop_within_a_long_body(sock: socket.socket, number: int) -> None:
    await _send(sock, _encode(b"body-%d" % number, b"pay", bytes(4 << 20))[: 2 << 20])


async def _stop_within_a_head(sock: socket.socket, number: int) -> None:
    """Stop behind four arguments, each a little below the largest length."""
    command = encode_array([b"API.WRITE", *[b"x" * 60_000] * 3])
    await _send(sock, command[:-10])


async def _send_many_short_fields(sock: socket.socket, number: int) -> None:
    more_fields = b"".join(b",%x=" % n for n in range(10_000))
    for n in range(32):
        await _send(sock, _encode(b"fields-%d-%d" % (number, n), b"read", more_fields=more_fields))


async def _write_short_bodies_slowly(sock: socket.socket, number: int) -> None:
    """Send a body that is buffered whole: most of it at once, the rest byte by byte."""
    command = _encode(b"slow-%d" % number, b"pay", bytes(65_000))
    await _send(sock, command[:-100])
    for n in range(100):
        await _send(sock, command[len(command) - 100 + n :][:1])
        await asyncio.sleep(0.5)


BEHAVIOURS: list[Behaviour] = [
    _read_long_values_slowly,
    _read_many_values_late,
    _stop_within_a_long_body,
    _stop_within_a_head,
    _send_many_short_fields,
    _write_short_bodies_slowly,
]


class LongValueHost:
    """A host that gives values in pieces, so that it holds little of what the gateway does not take."""

    def __init__(self) -> None:
        self.connections: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen on a free port; return its address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                words = []
                for _ in range(int((await reader.readline())[1:])):
                    length = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(length + 2))[:-2])
                name = words[2].partition(b"-")[0]
                value = {b"long": LONG_VALUE, b"value": LONG_VALUE[:60_000]}.get(name, words[2])
                answer = success_answer(value)
                for start in range(0, len(answer), PIECE_BYTES):
                    writer.write(answer[start : start + PIECE_BYTES])
                    await writer.drain()
        writer.transport.abort()


async def _count_unanswered(address: tuple[str, int], stopped: asyncio.Event) -> list[str]:
    """Send short requests, each on a connection of its own, and return those that got no answer."""
    unanswered, number = [], 0
    while not stopped.is_set():
        number += 1
        client = await Client.connect(address)
        client.send_request(b"short-%d" % number, time_limit_ms=3000)
        try:
            async with asyncio.timeout(3.5):
                await client.read_answer()
        except (EOFError, OSError, TimeoutError) as error:
            unanswered.append(f"short-{number}: {error!r}")
        client.writer.close()
        await asyncio.sleep(0.1)
    return unanswered


@pytest.mark.parametrize(("memory_mb", "descriptors"), LIMITS)
@pytest.mark.parametrize("behaviour", BEHAVIOURS, ids=lambda behaviour: behaviour.__name__.strip("_"))
def test_process_stays_within_its_memory_and_answers_others(
    behaviour: Behaviour, memory_mb: int, descriptors: int, tmp_path: Path
) -> None:
    """Guards against memory that no account counted: the platform kills a process beyond its limit."""

    async def main() -> None:
        dials = [await LongValueHost().start() for _ in range(HOST_COUNT)]
        counter = await RespServer(lambda words: b"$1\r\n1\r\n").start()
        known = {"seq": 1, "whole": True, "hosts": [host_entry(f"h{n}", d) for n, d in enumerate(dials)]}
        limits = {"memory_mb": memory_mb, "sockets": descriptors}
        async with running_program(tmp_path, known=known, limits=limits, counter=counter.dial) as (
            process,
            address,
        ):
            loop = asyncio.get_running_loop()
            stopped = asyncio.Event()
            others = loop.create_task(_count_unanswered(address, stopped))
            sockets: list[socket.socket] = []
            tasks: list[asyncio.Task[None]] = []
            for number in range(descriptors // 3):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
                sock.setblocking(False)
                await loop.sock_connect(sock, address)
                sockets.append(sock)
                tasks.append(loop.create_task(behaviour(sock, number)))
            await asyncio.sleep(HOLD_S)
            peak_mb = peak_resident_mb(process.pid)
            stopped.set()
            unanswered = await others
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for sock in sockets:
                sock.close()
            print(f"{behaviour.__name__}: {peak_mb:.1f} of {memory_mb} MB, unanswered: {unanswered}")
            assert process.returncode is None
            assert peak_mb <= memory_mb
            assert not unanswered

    run(main())
