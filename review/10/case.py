"""A client asks for three long values and donates, and reads without a pause: does it get all answers?"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from standins2 import Agent, Counter, Gateway, Host, Record, request, run_case, served, settings

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
VALUE = b"0123456789abcdef" * (1 << 18)  # 4 MiB
CHARGED = b"$7\r\ncharged\r\n"
PIECE, EVERY_S = 30_000, 0.1  # the client reads 0.3 MB a second
HOST_S = {
    b"first": 0.05,
    b"second": 0.45,
    b"donate": 0.05,
    b"third": 0.85,
}  # after which the hosts answer, each at once
READERS = 3


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Let some clients read, each on a connection of its own."""

    async def behave(host: Host, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        kind = words[2].split(b"-")[0]
        await asyncio.sleep(HOST_S[kind])
        writer.write(served(b"charged" if kind == b"donate" else VALUE))
        await writer.drain()
        record.note(f"{host.name} has answered {words[2].decode()} whole")

    hosts = [await Host(record, f"h{n}", behave).start() for n in range(9)]
    counter, agent = await Counter(record).start(), await Agent(record, *hosts).start()
    gateway, loop, broken = Gateway(record, folder), asyncio.get_running_loop(), list[str]()

    async def reader(number: int) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.setblocking(False)
        await loop.sock_connect(sock, gateway.address)
        started = record.now()
        names = [kind + b"-%d" % number for kind in HOST_S]
        customer = 100 + number
        commands = [
            request(name, "donate" if b"donate" in name else "read", 3000, customer) for name in names
        ]
        await loop.sock_sendall(sock, b"".join(commands))
        long = b"$%d\r\n" % len(VALUE) + VALUE + b"\r\n"
        whole = long * 2 + CHARGED + long
        got, end = bytearray(), "read"
        try:
            while len(got) < len(whole) and whole.startswith(bytes(got[-PIECE:]), max(0, len(got) - PIECE)):
                data = await loop.sock_recv(sock, PIECE if trouble else 1 << 20)
                if not data:
                    end = "closed by the gateway"
                    break
                got += data
                if trouble:
                    await asyncio.sleep(EVERY_S)
        except OSError as error:
            end = f"ended: {error}"
        loop.remove_reader(sock)
        sock.close()
        text = (
            f"client {number}: {end} after {record.now() - started:.1f} s, {len(got)} of {len(whole)} bytes"
        )
        record.note(text)
        if whole[: len(got)] != got:
            record.note(f"client {number} then got {bytes(got[len(long) * 2 : len(long) * 2 + 40])!r}")
        if end != "read":
            heard = "" if CHARGED in got else f"; donate-{number} has run and is not answered"
            broken.append(text + heard)

    try:
        await gateway.start(agent, counter, settings(), memory_mb=192, sockets=1024)
        await asyncio.gather(*(reader(number) for number in range(READERS)))
        return broken
    finally:
        await gateway.end()


run_case(case, RECORD)
