"""One seeded soak day: a real process among hosts, clients, discovery and a counter that all misbehave.

Clients keep using open connections until SIGKILL at the protocol's earliest moment; signals come in series; a
crowd fills the descriptors on some days. What clients and hosts saw is judged by the protocol's rules alone.

    python -m tests.soak --first 1 --days 50 --beside 5
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
from collections import deque
from dataclasses import dataclass, field
from itertools import accumulate
from pathlib import Path
from typing import Any, cast

import hiredis
import uvloop

from rainturn.emulator.counter_service import CounterService
from rainturn.emulator.discovery_service import DiscoveryService
from rainturn.emulator.traffic import format_address
from rainturn.emulator.workload import HostListEntry
from rainturn.node.resp import pack
from tests.program import config_file, started
from tests.sockets import WIRE, reset

HOSTS = 5
CLIENTS = 16
BAD_CLIENTS = 4
BAD_CLIENT_S = 3.0
CROWD = 400
SOCKETS = 256
SERVE_S = 1.5  # how long clients are served before signals come
NEW_CONNECTIONS_S = 0.3  # how long they go on coming after SIGTERM
KILLED_AFTER_S = 0.7  # after the longest deadline
LONGEST_S = 3.0
ANSWER_GRACE_S = 0.5  # an answer so late earns nothing, a later one is lost
DEADLINE_SLACK_S = 0.15  # of the time that an attempt tells its host
LEFT_GRACE_S = 0.1  # no attempt begins so long after its client has left
RULE_SLACK_S = 0.05  # each time limit is so much longer on sockets
CROSSING_S = 0.1  # what was sent so long before an orderly end of its connection did not cross it
DRAIN_GRACE_S = 1.0
SECOND_ANSWER_S = 0.008  # a second answer comes some milliseconds late
TICK_S = 0.01
DENIED_WINDOW = 30  # ticks over which the time is summed that the gateway waited for a core


@dataclass
class Sent:
    """A request as its client sees it; times are the loop's, in s."""

    kind: str
    patience_s: float
    at: float
    whole: bool = True  # whether its last byte is written
    left_at: float | None = None
    answer: Any = None
    answered_at: float = 0.0
    turn_at: float = 0.0  # when the answer before it on its connection came
    ended_at: float | None = None  # when its connection ended without an answer
    was_reset: bool = False


@dataclass
class Seen:
    """An attempt as its host sees it."""

    host: int
    at: float
    told_s: float
    ended_at: float | None = None
    never_ran: bool = False


@dataclass
class Day:
    """What one day draws, and what is seen on it."""

    seed: int
    sent: dict[bytes, Sent] = field(default_factory=dict)
    seen: dict[bytes, list[Seen]] = field(default_factory=dict)
    drained_at: dict[int, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    lag_s: float = 0.0  # the longest hold-up of this process: what was seen may be so late
    denied_s: float = 0.0  # the longest that the gateway was denied a core, as the scheduler counts it
    restarts: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.longest_s = self.rng.choice((0.6, 1.0, 1.6))
        self.window_s = self.rng.choice((0.5, 1.5, 6.0))
        self.crowd = self.rng.random() < 0.3
        self.hanging = set(self.rng.sample(range(HOSTS), self.rng.choice((0, 1, 2))))
        self.hangs = False  # whether these do so now

    def settings(self) -> dict[str, Any]:
        """The deployment's settings of this day."""
        change = {"hard_limit_ms": self.longest_s * 1000, "target_ms": self.longest_s * 400, "group": "all"}
        classes = [one | change | {"window_ms": self.window_s * 1000} for one in WIRE["classes"]]
        limits = WIRE["limits"] | {"may_duplicate": False, "conn_idle_ms": 2000}
        rules = WIRE["rules"] | {"drain_grace_ms": DRAIN_GRACE_S * 1000}
        return WIRE | {"classes": classes, "limits": limits, "rules": rules}


class Host(asyncio.Protocol):
    """One connection to a host that serves most commands, and breaks, spoils or forgets some."""

    def __init__(self, day: Day, number: int) -> None:
        self.day, self.number = day, number
        self.reader = hiredis.Reader(notEnoughData=Ellipsis)
        self.out: Seen | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.day.rng.random() < 0.1:  # closed at rest, some time
            asyncio.get_running_loop().call_later(self.day.rng.random(), self.transport.close)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (words := self.reader.gets()) is not ...:
            self._begin(words)

    def _begin(self, words: list[bytes]) -> None:
        loop, rng = asyncio.get_running_loop(), self.day.rng
        fields = dict(pair.split(b"=") for pair in words[3].split(b","))
        seen = self.out = Seen(self.number, loop.time(), float(fields[b"d"]) / 1000)
        self.day.seen.setdefault(words[2], []).append(seen)
        if self.day.hangs and self.number in self.day.hanging:
            return
        deed = rng.choices(
            ("serve", "busy", "fail", "reset", "garbage", "half", "twice", "hang"),
            (80, 5, 3, 4, 2, 2, 2, 2),
        )[0]
        loop.call_later(rng.uniform(0.002, 0.08), self._answer, words[2], seen, deed)

    def _answer(self, ident: bytes, seen: Seen, deed: str) -> None:
        if self.transport.is_closing() or deed == "hang":
            return
        value = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(ident), ident)
        answers = {"busy": b"-BUSY\r\n", "fail": b"-ERR failed\r\n", "garbage": b"$5\r\nx\r\n\r\n"}
        seen.ended_at, seen.never_ran = asyncio.get_running_loop().time(), deed == "busy"
        if deed == "reset":
            return reset(cast(Any, self))
        if deed == "half":
            self.transport.write(value[:9])
            return self.transport.close()
        self.transport.write(answers.get(deed, value))
        if deed == "twice":
            asyncio.get_running_loop().call_later(0.003, self._write_again, value, seen.ended_at)

    def _write_again(self, value: bytes, first_at: float) -> None:
        """Some milliseconds after the first; not at all if this process was held up for longer."""
        delay_s = asyncio.get_running_loop().time() - first_at
        if delay_s < SECOND_ANSWER_S and not self.transport.is_closing():
            self.transport.write(value)

    def get_extra_info(self, name: str) -> Any:
        return self.transport.get_extra_info(name)

    def connection_lost(self, error: Exception | None) -> None:
        if self.out is not None and self.out.ended_at is None:
            self.out.ended_at = asyncio.get_running_loop().time()


class Client(asyncio.Protocol):
    """One connection of a client: asks in batches, may leave in the middle, and goes on until its end."""

    def __init__(self, day: Day, name: bytes) -> None:
        self.day, self.name = day, name
        self.reader = hiredis.Reader(notEnoughData=Ellipsis)
        self.pending: list[bytes] = []
        self.asked = 0
        self.ended = asyncio.Event()
        self.free = asyncio.Event()
        self.answered_at = 0.0  # the last one

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self) -> None:
        """Send one to four requests at once, or many on some days."""
        rng, loop = self.day.rng, asyncio.get_running_loop()
        self.free.clear()
        batch = []
        for _ in range(rng.choice((1, 1, 2, 4, 4, 40)) if rng.random() < 0.2 else rng.choice((1, 2))):
            self.asked += 1
            ident = b"%s.%d" % (self.name, self.asked)
            kind = rng.choice(("read", "read", "send", "pay"))
            patience_s = self.day.longest_s * rng.uniform(0.5, 1.0)
            extra = b"k=%s," % ident.hex().encode() if kind == "send" else b""
            fields = b"c=%s,t=basic,d=%d,%sunits=1,spread=1,first=0" % (
                kind.encode(),
                patience_s * 1000,
                extra,
            )
            verb = b"API.READ" if kind == "read" else b"API.WRITE"
            words = [verb, b"%016x" % rng.randrange(1 << 33), ident, fields]
            batch.append(pack(words if kind == "read" else [*words, b"body"]))
            self.pending.append(ident)
            self.day.sent[ident] = Sent(kind, int(patience_s * 1000) / 1000, loop.time())
        self._write(batch, self.pending[-len(batch) :])

    def _write(self, commands: list[bytes], idents: list[bytes]) -> None:
        """Write at once, or now and then in two pieces, cut anywhere."""
        rng, data = self.day.rng, b"".join(commands)
        cut = len(data) if rng.random() < 0.9 else rng.randrange(1, len(data))
        self.transport.write(data[:cut])
        if cut < len(data):
            ends = accumulate(map(len, commands))
            late = [ident for ident, end in zip(idents, ends, strict=True) if end > cut]
            for ident in late:
                self.day.sent[ident].whole = False
            delay_s = rng.uniform(0.0, 0.3)
            asyncio.get_running_loop().call_later(delay_s, self._write_rest, data[cut:], late)

    def _write_rest(self, data: bytes, idents: list[bytes]) -> None:
        """The time of the requests that end in this piece counts from now."""
        if self.transport.is_closing():
            return
        for ident in idents:
            sent = self.day.sent[ident]
            sent.at, sent.whole = asyncio.get_running_loop().time(), True
        self.transport.write(data)

    def leave(self) -> None:
        """Close with requests open."""
        now = asyncio.get_running_loop().time()
        for ident in self.pending:
            self.day.sent[ident].left_at = now
        self.pending.clear()
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        now = asyncio.get_running_loop().time()
        while (answer := self.reader.gets()) is not ...:
            if not self.pending:
                self.day.faults.append(f"{self.name!r}: an answer that nobody asked for: {answer!r}")
                continue
            sent = self.day.sent[self.pending.pop(0)]
            sent.answer, sent.answered_at, sent.turn_at = answer, now, self.answered_at
            self.answered_at = now
        if not self.pending:
            self.free.set()

    def connection_lost(self, error: Exception | None) -> None:
        now = asyncio.get_running_loop().time()
        for ident in self.pending:
            sent = self.day.sent[ident]
            sent.ended_at, sent.was_reset = now, error is not None
        self.ended.set()
        self.free.set()


class Play:
    """Plays a day: one process after another at one address, with clients, signals and list changes."""

    def __init__(self, day: Day, folder: Path) -> None:
        self.day, self.folder, self.rng = day, folder, random.Random(day.seed + 1_000_000)
        self.front_open = False  # whether clients may open connections
        self.over = False
        self.address = ("", 0)
        self.clients: set[Client] = set()
        self.pid = 0  # of the gateway

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(lambda n=n: Host(self.day, n), "127.0.0.1", 0)  # type: ignore[misc]
            for n in range(HOSTS)
        ]
        dials = [format_address(server.sockets[0].getsockname()) for server in servers]
        self.lines = [HostListEntry(f"h{n}", at, "east", 0) for n, at in enumerate(dials)]
        self.discovery, self.counter = DiscoveryService(self.lines), CounterService()
        self.change = {
            "discovery": format_address(await self.discovery.listen("first")),
            "counter": format_address(await self.counter.listen("first")),
            "settings": self.day.settings(),
            "limits": {"memory_mb": 192, "sockets": SOCKETS},
            "known": json.loads(self.discovery.directory.whole_list()),
        }
        tasks = [loop.create_task(self._watch_lag())]
        tasks += [loop.create_task(self._client(b"c%d" % n)) for n in range(CLIENTS)]
        tasks += [loop.create_task(self._bad_client()) for _ in range(BAD_CLIENTS)]
        try:
            for _ in range(2):
                await self._life()
                self.day.restarts += 1
        finally:
            self.over = True
            for client in list(self.clients):
                client.transport.abort()
            await asyncio.gather(*tasks)
            for server in servers:
                server.close()
            self.discovery.close()
            self.counter.close()

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        waited: deque[float] = deque(maxlen=DENIED_WINDOW)
        while not self.over:
            before = loop.time()
            await asyncio.sleep(TICK_S)
            self.day.lag_s = max(self.day.lag_s, loop.time() - before - TICK_S)
            waited.append(self._waited_for_a_core())
            if waited[0] <= waited[-1]:  # else another process has begun
                self.day.denied_s = max(self.day.denied_s, waited[-1] - waited[0])

    def _waited_for_a_core(self) -> float:
        """How long the gateway's process has been ready to run and did not, in s."""
        try:
            return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1]) / 1e9
        except (OSError, IndexError):
            return 0.0

    async def _client(self, name: bytes) -> None:
        """One after another, connections over which a client asks until they end."""
        number = 0
        while not self.over:
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            if not self.front_open:
                continue
            number += 1
            client = Client(self.day, b"%s.%d" % (name, number))
            try:
                await asyncio.get_running_loop().create_connection(lambda c=client: c, *self.address)  # type: ignore[misc]
            except OSError:
                continue
            self.clients.add(client)
            await self._use(client)
            self.clients.discard(client)

    async def _bad_client(self) -> None:
        """Connections that send nothing, half a command, or what is none: each gets an error or its end."""
        loop = asyncio.get_running_loop()
        while not self.over:
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            if not self.front_open:
                continue
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                continue
            begun_at = loop.time()
            fields = b"c=read,t=basic,d=100,units=1,spread=1,first=0"
            whole = pack([b"API.READ", b"%016x" % 7, b"bad", fields])
            half = whole[: self.rng.randrange(1, len(whole))]
            sends = self.rng.choice((b"", half, b"GET / HTTP/1.1\r\n\r\n"))
            writer.write(sends)
            with contextlib.suppress(OSError):
                await reader.read(1)  # an error line, or the end
            if loop.time() - begun_at > BAD_CLIENT_S + self.day.lag_s + self.day.denied_s + RULE_SLACK_S:
                self.day.faults.append(f"a bad client waited {loop.time() - begun_at} s after {sends!r}")
            writer.transport.abort()

    async def _use(self, client: Client) -> None:
        while not client.ended.is_set():
            client.ask()
            if self.rng.random() < 0.03:
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))
                return client.leave()
            await client.free.wait()
            await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.02, 0.1)))

    async def _life(self) -> None:
        """One process from its start to its end, with what meets it."""
        day, rng, loop = self.day, self.rng, asyncio.get_running_loop()
        listen = {"listen": format_address(self.address)} if self.address[1] else {}
        path = config_file(self.folder, **(self.change | listen))
        process, self.address = await started(path)
        self.pid = process.pid
        log = loop.create_task(cast(asyncio.StreamReader, process.stderr).read())
        crowd: list[asyncio.StreamWriter] = []
        try:
            self.front_open = True
            await asyncio.sleep(rng.uniform(1.0, SERVE_S))  # no SIGHUP in a process's first second
            if day.crowd:
                crowd = await self._crowd()
            for _ in range(rng.choice((0, 1, 3))):
                await self._reload(process, path, listen)
            self._drain_one()
            day.hangs = True
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            await self._end(process)
            day.hangs = False
            day.faults += _faults_of_log((await log).decode())
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            for writer in crowd:
                writer.transport.abort()

    async def _crowd(self) -> list[asyncio.StreamWriter]:
        """Connections that say nothing, or only PING, and rest."""
        writers = []
        for number in range(CROWD):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.address)
                writers.append(writer)
                if number % 2:
                    writer.write(pack([b"PING"]))
        return writers

    async def _reload(self, process: Any, path: str, listen: dict[str, Any]) -> None:
        """A new configuration that moves discovery, and perhaps the signal twice."""
        self.change |= {"discovery": format_address(await self.discovery.listen("later"))}
        config_file(self.folder, **(self.change | listen))
        for _ in range(self.rng.choice((1, 1, 2))):
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.3)))

    def _drain_one(self) -> None:
        """A host that serves begins to drain."""
        number = self.rng.randrange(HOSTS)
        if len(self.day.drained_at) < 2 and number not in self.day.drained_at:
            self.day.drained_at[number] = asyncio.get_running_loop().time()
            self.lines[number] = self.lines[number].with_health("terminating")
            self.discovery.change([self.lines[number]])

    async def _end(self, process: Any) -> None:
        """SIGTERM, more signals behind it, and SIGKILL at the earliest."""
        loop = asyncio.get_running_loop()
        kill_at = loop.time() + min(LONGEST_S, self.day.longest_s) + KILLED_AFTER_S
        loop.call_later(NEW_CONNECTIONS_S, self._close_front)
        process.send_signal(signal.SIGTERM)
        for number in self.rng.choices(
            (signal.SIGTERM, signal.SIGHUP, signal.SIGINT), k=self.rng.randrange(3)
        ):
            await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.4)))
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(kill_at):
                await process.wait()
        if process.returncode is None:
            process.kill()
        elif process.returncode != 0:
            self.day.faults.append(f"it ended with {process.returncode}")
        await process.wait()
        self._close_front()
        await asyncio.sleep(0.1)  # what the kernel has still to say to the clients

    def _close_front(self) -> None:
        self.front_open = False


def _faults_of_log(text: str) -> list[str]:
    """Errors that a process logged; a configuration that it met half written is read again."""
    errors = [line for line in text.splitlines() if " ERROR " in line or "Traceback" in line]
    return [f"log: {line}" for line in errors if "configuration kept as it was:" not in line]


def judge(day: Day) -> list[str]:
    """What on a day breaks the rules, a line each."""
    faults = list(day.faults)
    late_s = day.lag_s + day.denied_s + RULE_SLACK_S
    for ident, sent in day.sent.items():
        attempts = day.seen.get(ident, [])
        of_answer = _of_answer(day, sent, attempts, ident, late_s)
        faults += [f"{ident!r} {sent.kind}: {fault}" for fault in of_answer]
        faults += [f"{ident!r} {sent.kind}: {fault}" for fault in _of_attempts(day, sent, attempts, late_s)]
    return faults


def _of_answer(day: Day, sent: Sent, attempts: list[Seen], ident: bytes, late_s: float) -> list[str]:
    if sent.left_at is not None or not sent.whole:
        return []
    ran = [attempt for attempt in attempts if not attempt.never_ran]
    if not sent.answered_at:
        if attempts:
            return [f"lost: a host had it and its client got no answer ({sent})"]
        crossed = sent.ended_at is None or sent.was_reset or sent.ended_at - sent.at < CROSSING_S + late_s
        return [] if crossed else [f"lost: read, and its connection closed in order ({sent})"]
    faults = []
    if sent.answered_at > max(sent.at + sent.patience_s, sent.turn_at) + ANSWER_GRACE_S + late_s:
        faults.append(f"lost: answered late ({sent})")
    if isinstance(sent.answer, bytes) and sent.answer != ident:
        faults.append(f"lost: served {sent.answer!r}, which is another's")
    if isinstance(sent.answer, hiredis.ReplyError) and str(sent.answer).startswith("BUSY"):
        if sent.kind == "pay" and ran:
            faults.append("refused though it may have run")
        if sent.kind == "send" and ran and sent.answered_at > ran[0].at + day.window_s + late_s:
            faults.append("refused after its window")
    elif not isinstance(sent.answer, bytes) and not str(sent.answer).startswith("ERR failed"):
        faults.append(f"answered {sent.answer!r}")
    return faults


def _of_attempts(day: Day, sent: Sent, attempts: list[Seen], late_s: float) -> list[str]:
    faults = []
    first_ran: Seen | None = None
    for number, attempt in enumerate(attempts):
        if attempt.told_s > sent.at + sent.patience_s - attempt.at + DEADLINE_SLACK_S + late_s:
            faults.append(f"its host was told {attempt.told_s} s")
        if sent.left_at is not None and attempt.at > sent.left_at + LEFT_GRACE_S + late_s:
            faults.append("lost: begun after its client had left")
        drained_at = day.drained_at.get(attempt.host)
        if drained_at is not None and attempt.at > drained_at + DRAIN_GRACE_S + late_s:
            faults.append("drain: begun at a host that leaves")
        for before in attempts[:number]:
            if before.ended_at is None or before.ended_at > attempt.at + late_s:
                faults.append("duplicate: an earlier attempt is still out")
        if first_ran is not None and sent.kind == "pay":
            faults.append("duplicate: run twice")
        if (
            first_ran is not None
            and sent.kind == "send"
            and attempt.at > first_ran.at + day.window_s + late_s
        ):
            faults.append("duplicate: repeated after its window")
        if not attempt.never_ran:
            first_ran = first_ran or attempt
    return faults


def play(seed: int) -> tuple[Day, list[str]]:
    """Play a day, and judge it."""
    day = Day(seed)
    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(Play(day, Path(folder)).run())
    return day, judge(day)


async def _beside(seeds: range, beside: int) -> int:
    """Play days in processes of their own, some beside each other; returns how many broke a rule."""
    room, broken = asyncio.Semaphore(beside), 0

    async def one(seed: int) -> None:
        nonlocal broken
        async with room:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "tests.soak", "--seed", str(seed), stdout=-1
            )
            output, _ = await process.communicate()
            broken += process.returncode != 0
            print(output.decode(), end="", flush=True)

    await asyncio.gather(*[one(seed) for seed in seeds])
    return broken


def main() -> int:
    """Play one day, or many, and print a line a day and a line a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="play this day alone")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--days", type=int, default=50)
    parser.add_argument("--beside", type=int, default=4)
    options = parser.parse_args()
    if options.seed is None:
        broken = asyncio.run(_beside(range(options.first, options.first + options.days), options.beside))
        print(f"{options.days} days, {broken} with a fault")
        return min(broken, 1)
    day, faults = play(options.seed)
    answered = sum(bool(sent.answered_at) for sent in day.sent.values())
    served = sum(isinstance(sent.answer, bytes) for sent in day.sent.values())
    print(
        f"seed {options.seed}: deadline {day.longest_s} s, window {day.window_s} s, crowd {day.crowd}, "
        f"{len(day.hanging)} hang; {len(day.sent)} requests, {answered} answered, {served} served, "
        f"lag {day.lag_s:.3f} s, denied a core {day.denied_s:.3f} s; {len(faults)} faults"
    )
    for fault in faults[:10]:
        print(f"  {fault}")
    return min(len(faults), 1)


if __name__ == "__main__":
    sys.exit(main())
