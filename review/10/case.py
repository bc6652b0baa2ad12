"""A client asks for three long values at once and reads them without a pause: does it get all of them?"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from standins2 import Agent, Counter, Gateway, Host, Record, request, run_case, served, settings

HERE = Path(__file__).resolve().parent
VALUE = b"0123456789abcdef" * (1 << 18)  # 4 MiB
VALUES = 3
PIECE, EVERY_S = 30_000, 0.1  # the client reads 0.3 MB a second
HOST_S = (0.05, 0.45, 0.85)  # after which the hosts answer, each with its whole value
READERS = 3


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Let some clients read, each on a connection of its own."""

    async def behave(host: Host, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(HOST_S[int(words[2].split(b"-")[2])])
        writer.write(served(VALUE))
        await writer.drain()
        record.note(f"{host.name} has given all of {words[2].decode()}")

    hosts = [await Host(record, f"h{n}", behave).start() for n in range(9)]
    counter, agent = await Counter(record).start(), await Agent(record, *hosts).start()
    gateway, loop, broken = Gateway(record, folder), asyncio.get_running_loop(), list[str]()

    async def reader(number: int) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.setblocking(False)
        await loop.sock_connect(sock, gateway.address)
        started = record.now()
        names = [b"long-%d-%d" % (number, n) for n in range(VALUES)]
        await loop.sock_sendall(sock, b"".join(request(name, customer=100 + number) for name in names))
        whole, got, end = (b"$%d\r\n" % len(VALUE) + VALUE + b"\r\n") * VALUES, bytearray(), "read"
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
        if end != "read":
            broken.append(text)

    try:
        await gateway.start(agent, counter, settings(), memory_mb=192, sockets=1024)
        await asyncio.gather(*(reader(number) for number in range(READERS)))
        return broken
    finally:
        await gateway.end()


run_case(case, HERE)
