"""A client reads a long value slowly, in pieces: does it get the whole value?"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from standins2 import Agent, Counter, Gateway, Host, Record, request, run_case, served, settings

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
VALUE = b"0123456789abcdef" * (1 << 18)  # 4 MiB
RECEIVE_BUFFER, PIECE, PAUSE_S = 200_000, 1 << 18, 2.5  # the client reads what has come every 2.5 s
READERS = 6


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Let some clients read one value each, on a connection that carries nothing else."""

    async def behave(host: Host, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        writer.write(served(VALUE))
        await writer.drain()

    hosts = [await Host(record, f"h{n}", behave).start() for n in range(9)]
    counter, agent = await Counter(record).start(), await Agent(record, *hosts).start()
    gateway, loop, broken = Gateway(record, folder), asyncio.get_running_loop(), list[str]()
    whole = b"$%d\r\n" % len(VALUE) + VALUE + b"\r\n"

    async def reader(number: int) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setblocking(False)
        await loop.sock_connect(sock, gateway.address)
        await loop.sock_sendall(sock, request(b"long-%d" % number, customer=100 + number))
        started, got, reads, end = record.now(), bytearray(), 0, "read"
        try:
            while len(got) < len(whole) and whole.startswith(bytes(got[-16:]), max(0, len(got) - 16)):
                data = await loop.sock_recv(sock, PIECE)
                if not data:
                    end = "closed by the gateway"
                    break
                got += data
                reads += 1
                if trouble:
                    await asyncio.sleep(PAUSE_S)
        except OSError as error:
            end = f"ended: {error}"
        loop.remove_reader(sock)
        sock.close()
        took = record.now() - started
        text = (
            f"client {number}: {end} after {took:.1f} s and {reads} reads, {len(got)} of {len(whole)} bytes"
        )
        record.note(text)
        if end != "read":
            broken.append(text)

    try:
        await gateway.start(agent, counter, settings())
        await asyncio.gather(*(reader(number) for number in range(READERS)))
        return broken
    finally:
        await gateway.end()


run_case(case, RECORD)
