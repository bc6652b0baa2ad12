"""Clients read long values slowly: does the gateway stay within its memory, and keep the requests?"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path

from standins2 import Agent, Client, Counter, Gateway, Host, Record, request, run_case, served, settings

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
MEMORY_MB, DESCRIPTORS = 80, 1024  # of 32 to 192 MB and 256 to 1,024 descriptors
READERS = 300  # of at most a third of the descriptors
PER_SECOND = 77  # what the gateways are offered
VALUE = b"0123456789abcdef" * (1 << 18)  # 4 MiB
LONG_ANSWER = served(VALUE)
PIECE, PAUSE_S = 16384, 0.5


def resident_mb(pid: int) -> float:
    """Return the most resident memory that a process has held."""
    with contextlib.suppress(OSError):
        for line in Path("/proc", str(pid), "status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
    return 0.0


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Let readers come at the usual rate, and other requests beside them."""

    async def behave(host: Host, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        answer = LONG_ANSWER if words[2].startswith(b"long") else served(b"value-of-" + words[2])
        for start in range(0, len(answer), 1 << 16):
            writer.write(answer[start : start + (1 << 16)])
            await writer.drain()  # so that this process holds little of what the gateway does not take

    hosts = [await Host(record, f"h{n}", behave).start() for n in range(12)]
    counter, agent = await Counter(record).start(), await Agent(record, *hosts).start()
    gateway, loop = Gateway(record, folder), asyncio.get_running_loop()
    broken, stopping, whole = list[str](), False, 0

    async def reader(number: int) -> None:
        nonlocal whole
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.setblocking(False)
        await loop.sock_connect(sock, gateway.address)
        await loop.sock_sendall(sock, request(b"long-%d" % number, customer=1000 + number))
        head = b"$%d\r\n" % len(VALUE)
        got, wanted = 0, len(head) + len(VALUE) + 2
        start = b""
        with contextlib.suppress(OSError):
            while got < wanted:
                data = await loop.sock_recv(sock, PIECE if trouble else 1 << 18)
                if not data:
                    break
                start = start if len(start) > 7 else start + data[:8]
                got += len(data)
                if not start.startswith(head[: len(start)]):
                    break  # refused or failed
                if trouble:
                    await asyncio.sleep(PAUSE_S)
                if stopping:
                    break
        whole += got == wanted
        if got < wanted and not stopping and start.startswith(b"$"):
            broken.append(f"long-{number}: the value was cut off after {got} bytes")
        elif not got:
            broken.append(f"long-{number}: closed without an answer")
        sock.close()

    async def others() -> None:
        number = 0
        while not stopping:
            number += 1
            name = b"short-%d" % number
            with contextlib.suppress(OSError):
                client = await Client.connect(gateway.address)
                await client.send(request(name, customer=5000 + number))
                try:
                    answer = await client.answer(3.6)
                    record.note(f"{name.decode()} gets {answer!r}")
                    if answer is None:
                        broken.append(f"{name.decode()}: no answer")
                except EOFError as error:
                    begun = any(identity == name for host in hosts for _, identity in host.begun)
                    broken.append(f"{name.decode()}: {error}; begun at a host: {begun}")
                client.close()
            await asyncio.sleep(0.1)

    try:
        await gateway.start(agent, counter, settings(), MEMORY_MB, DESCRIPTORS)
        tasks = [asyncio.ensure_future(others())]
        for number in range(READERS):
            tasks.append(asyncio.ensure_future(reader(number)))
            await asyncio.sleep(1 / PER_SECOND)
            if number % 50 == 49:
                record.note(f"{number + 1} readers, {resident_mb(gateway.process.pid):.0f} MB")
        await asyncio.sleep(5)
        peak = resident_mb(gateway.process.pid)
        record.note(f"{peak:.0f} MB of {MEMORY_MB}; {whole} values read whole")
        if gateway.process.returncode is not None:
            broken.append(f"the gateway ended with {gateway.process.returncode}")
        elif peak > MEMORY_MB:
            broken.insert(0, f"the gateway held {peak:.0f} MB of {MEMORY_MB}: the platform kills it")
        stopping = True
        await asyncio.sleep(PAUSE_S + 0.1)
        return broken[:20]
    finally:
        await gateway.end()


run_case(case, RECORD)
