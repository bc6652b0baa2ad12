"""Soak test: a real gateway process with misbehaving hosts and clients, and with discovery that moves.

A seed determines the random choices of a run, which starts two gateway processes in turn at one address.
Clients use their open connections until SIGKILL, which comes at the earliest moment that the protocol
permits. Signals come in series, and in some runs idle connections use up the descriptors. The answers and
attempts that clients and hosts record are checked against the rules of the protocol only.

The command line performs many runs, which its flags and the last line of its output call days:

    python -m tests.soak --first 1 --days 50 --beside 5
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import math
import random
import signal
import sys
import tempfile
from collections import deque
from itertools import accumulate
from pathlib import Path
from typing import Any, cast

import hiredis
import uvloop

from rainturn.emulator.counter_service import CounterService
from rainturn.emulator.discovery_service import DiscoveryService
from rainturn.emulator.traffic import format_address
from rainturn.emulator.workload import HostListEntry
from rainturn.node.resp import encode_array
from tests.program import start_program, write_config
from tests.soak_hosts import Host, long_value, medium_value
from tests.soak_records import DRAIN_GRACE_S, HOSTS, HostAttempt, SentRequest, SoakRun

CLIENTS = 16
BAD_CLIENTS = 4
BAD_CLIENT_LIMIT_S = 3.0
IDLE_CONNECTIONS = 400
GATEWAY_DESCRIPTORS = 256
MAX_SERVE_S = 1.5  # longest time that clients are served before the first signal
NEW_CONNECTIONS_S = 0.3  # how long clients still open connections after SIGTERM
# Requests that come later than this after SIGTERM have to be answered before SIGKILL, others need not.
MUST_ANSWER_AFTER_S = 0.7
KILL_DELAY_S = 0.7  # from the longest deadline to SIGKILL
LONGEST_DEADLINE_S = 3.0  # a longer deadline counts as this one
ANSWER_GRACE_S = 0.5  # after the deadline: an answer up to then earns nothing, a later one is lost
DEADLINE_SLACK_S = 0.15  # tolerance for the remaining time that an attempt announces to its host
LEFT_GRACE_S = 0.1  # no attempt begins later than this after its client has left
RULE_SLACK_S = 0.05  # tolerance of every time limit, for the sockets' delay
# A request sent earlier than this before an orderly close of its connection can't have crossed the close.
CROSSING_S = 0.1
TICK_S = 0.01
CPU_WAIT_WINDOW_TICKS = 30  # window over which the gateway's time of waiting for a core is summed


class Client(asyncio.Protocol):
    """A client's connection, which carries batches of requests until it ends; the client may leave early."""

    def __init__(self, run: SoakRun, name: bytes) -> None:
        self.run, self.name = run, name
        self.reader = hiredis.Reader(notEnoughData=Ellipsis)
        self.pending: list[bytes] = []
        self.sent_count = 0
        self.ended = asyncio.Event()
        self.all_answered = asyncio.Event()
        self.answered_at = 0.0  # time of the last answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send_batch(self) -> None:
        """Send up to four requests at once, and now and then 40."""
        rng, loop = self.run.rng, asyncio.get_running_loop()
        self.all_answered.clear()
        batch = []
        for _ in range(rng.choice((1, 1, 2, 4, 4, 40)) if rng.random() < 0.2 else rng.choice((1, 2))):
            self.sent_count += 1
            ident = b"%s.%d" % (self.name, self.sent_count)
            kind = rng.choice(("read", "read", "send", "pay"))
            patience_s = self.run.longest_deadline_s * rng.uniform(0.5, 1.0)
            extra = b"k=%s," % ident.hex().encode() if kind == "send" else b""
            fields = b"c=%s,t=basic,d=%d,%sunits=1,spread=1,first=0" % (
                kind.encode(),
                patience_s * 1000,
                extra,
            )
            verb = b"API.READ" if kind == "read" else b"API.WRITE"
            words = [verb, b"%016x" % rng.randrange(1 << 33), ident, fields]
            batch.append(encode_array(words if kind == "read" else [*words, b"body"]))
            self.pending.append(ident)
            self.run.requests[ident] = SentRequest(kind, int(patience_s * 1000) / 1000, loop.time())
        self._write(batch, self.pending[-len(batch) :])

    def _write(self, commands: list[bytes], idents: list[bytes]) -> None:
        """Write the commands at once, or now and then in two parts that are cut anywhere."""
        rng, data = self.run.rng, b"".join(commands)
        cut = len(data) if rng.random() < 0.9 else rng.randrange(1, len(data))
        self.transport.write(data[:cut])
        if cut < len(data):
            ends = accumulate(map(len, commands))
            incomplete = [ident for ident, end in zip(idents, ends, strict=True) if end > cut]
            for ident in incomplete:
                self.run.requests[ident].is_complete = False
            delay_s = rng.uniform(0.0, 0.3)
            asyncio.get_running_loop().call_later(delay_s, self._write_rest, data[cut:], incomplete)

    def _write_rest(self, data: bytes, idents: list[bytes]) -> None:
        """Write the second part; the time of the requests that end in it counts from now."""
        if self.transport.is_closing():
            return
        for ident in idents:
            request = self.run.requests[ident]
            request.sent_at, request.is_complete = asyncio.get_running_loop().time(), True
        self.transport.write(data)

    def leave(self) -> None:
        """Close the connection with requests open."""
        now = asyncio.get_running_loop().time()
        for ident in self.pending:
            self.run.requests[ident].left_at = now
        self.pending.clear()
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        now = asyncio.get_running_loop().time()
        while (answer := self.reader.gets()) is not ...:
            if not self.pending:
                self.run.faults.append(f"{self.name!r}: an answer without a request: {answer!r}")
                continue
            request = self.run.requests[self.pending.pop(0)]
            request.answer, request.answered_at, request.previous_answer_at = answer, now, self.answered_at
            self.answered_at = now
        if not self.pending:
            self.all_answered.set()
        elif self.reader.has_data():
            request = self.run.requests[self.pending[0]]
            request.first_byte_at = request.first_byte_at or now

    def connection_lost(self, error: Exception | None) -> None:
        now, is_in_value = asyncio.get_running_loop().time(), self.reader.has_data()
        for ident in self.pending:
            request = self.run.requests[ident]
            request.ended_at, request.was_reset = now, error is not None
            request.is_cut = is_in_value and ident == self.pending[0]
            request.is_behind_cut = is_in_value and ident != self.pending[0]
        self.ended.set()
        self.all_answered.set()


class SoakRunner:
    """Performs a run: two processes in turn at one address, with clients, signals and list changes."""

    def __init__(self, run: SoakRun, folder: Path) -> None:
        self.run, self.folder, self.rng = run, folder, random.Random(run.seed + 1_000_000)
        self.may_connect = False  # whether clients may open connections
        self.is_over = False
        self.address = ("", 0)
        self.clients: set[Client] = set()
        self.pid = 0  # of the gateway

    async def execute(self) -> None:
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(lambda n=n: Host(self.run, n), "127.0.0.1", 0)  # type: ignore[misc]
            for n in range(HOSTS)
        ]
        addresses = [format_address(server.sockets[0].getsockname()) for server in servers]
        self.host_entries = [
            HostListEntry(f"h{n}", address, "east", 0) for n, address in enumerate(addresses)
        ]
        self.discovery, self.counter = DiscoveryService(self.host_entries), CounterService()
        self.config_changes = {
            "discovery": format_address(await self.discovery.listen("first")),
            "counter": format_address(await self.counter.listen("first")),
            "settings": self.run.settings(),
            "limits": {"memory_mb": 192, "sockets": GATEWAY_DESCRIPTORS},
            "known": json.loads(self.discovery.directory.whole_list()),
        }
        tasks = [loop.create_task(self._measure_delays())]
        tasks += [loop.create_task(self._run_client(b"c%d" % n)) for n in range(CLIENTS)]
        tasks += [loop.create_task(self._run_bad_client()) for _ in range(BAD_CLIENTS)]
        try:
            for _ in range(2):
                await self._run_process()
                self.run.restarts += 1
        finally:
            self.is_over = True
            for client in list(self.clients):
                client.transport.abort()
            await asyncio.gather(*tasks)
            for server in servers:
                server.close()
            self.discovery.close()
            self.counter.close()

    async def _measure_delays(self) -> None:
        loop = asyncio.get_running_loop()
        waited: deque[float] = deque(maxlen=CPU_WAIT_WINDOW_TICKS)
        while not self.is_over:
            before = loop.time()
            await asyncio.sleep(TICK_S)
            self.run.lag_s = max(self.run.lag_s, loop.time() - before - TICK_S)
            waited.append(self._cpu_wait_s())
            if waited[0] <= waited[-1]:  # not across the start of another process
                self.run.cpu_wait_s = max(self.run.cpu_wait_s, waited[-1] - waited[0])

    def _cpu_wait_s(self) -> float:
        """Return how long the gateway process has been runnable without running, in s."""
        try:
            return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1]) / 1e9
        except (OSError, IndexError):
            return 0.0

    async def _run_client(self, name: bytes) -> None:
        """Open one connection after another, and use each until it ends."""
        number = 0
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            if not self.may_connect:
                continue
            number += 1
            client = Client(self.run, b"%s.%d" % (name, number))
            try:
                await asyncio.get_running_loop().create_connection(lambda c=client: c, *self.address)  # type: ignore[misc]
            except OSError:
                continue
            self.clients.add(client)
            await self._use_connection(client)
            self.clients.discard(client)

    async def _run_bad_client(self) -> None:
        """Open connections that send nothing, a part of a command, or another protocol.

        Each must get an error or be closed in time.
        """
        loop = asyncio.get_running_loop()
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            if not self.may_connect:
                continue
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                continue
            began_at = loop.time()
            fields = b"c=read,t=basic,d=100,units=1,spread=1,first=0"
            whole = encode_array([b"API.READ", b"%016x" % 7, b"bad", fields])
            half = whole[: self.rng.randrange(1, len(whole))]
            sent_data = self.rng.choice((b"", half, b"GET / HTTP/1.1\r\n\r\n"))
            writer.write(sent_data)
            with contextlib.suppress(OSError):
                await reader.read(1)  # an error line, or the end of the connection
            if (
                loop.time() - began_at
                > BAD_CLIENT_LIMIT_S + self.run.lag_s + self.run.cpu_wait_s + RULE_SLACK_S
            ):
                self.run.faults.append(f"a bad client waited {loop.time() - began_at} s after {sent_data!r}")
            writer.transport.abort()

    async def _use_connection(self, client: Client) -> None:
        while not client.ended.is_set():
            client.send_batch()
            if self.rng.random() < 0.03:
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))
                return client.leave()
            await client.all_answered.wait()
            await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.02, 0.1)))

    async def _run_process(self) -> None:
        """Run one process from its start to its end, with its clients and signals."""
        run, rng, loop = self.run, self.rng, asyncio.get_running_loop()
        listen = {"listen": format_address(self.address)} if self.address[1] else {}
        path = write_config(self.folder, **(self.config_changes | listen))
        process, self.address = await start_program(path)
        self.pid = process.pid
        log = loop.create_task(cast(asyncio.StreamReader, process.stderr).read())
        idle_connections: list[asyncio.StreamWriter] = []
        try:
            self.may_connect = True
            await asyncio.sleep(rng.uniform(1.0, MAX_SERVE_S))  # no SIGHUP in a process's first second
            if run.has_idle_connections:
                idle_connections = await self._open_idle_connections()
            for _ in range(rng.choice((0, 1, 3))):
                await self._reload(process, path, listen)
            self._drain_host()
            run.may_hang = True
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            await self._stop(process)
            run.may_hang = False
            run.faults += _log_faults((await log).decode())
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            for writer in idle_connections:
                writer.transport.abort()

    async def _open_idle_connections(self) -> list[asyncio.StreamWriter]:
        """Open connections that send nothing or only PING, and then stay idle."""
        writers = []
        for number in range(IDLE_CONNECTIONS):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.address)
                writers.append(writer)
                if number % 2:
                    writer.write(encode_array([b"PING"]))
        return writers

    async def _reload(self, process: Any, path: str, listen: dict[str, Any]) -> None:
        """Write a configuration that moves discovery, and send SIGHUP once or twice."""
        self.config_changes |= {"discovery": format_address(await self.discovery.listen("later"))}
        write_config(self.folder, **(self.config_changes | listen))
        for _ in range(self.rng.choice((1, 1, 2))):
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.3)))

    def _drain_host(self) -> None:
        """Start to drain a random host, unless it drains already or two hosts do."""
        number = self.rng.randrange(HOSTS)
        if len(self.run.drained_at) < 2 and number not in self.run.drained_at:
            self.run.drained_at[number] = asyncio.get_running_loop().time()
            self.host_entries[number] = self.host_entries[number].with_health("terminating")
            self.discovery.change([self.host_entries[number]])

    async def _stop(self, process: Any) -> None:
        """Send SIGTERM, further signals after it, and SIGKILL at the earliest permitted moment."""
        loop = asyncio.get_running_loop()
        kill_at = loop.time() + min(LONGEST_DEADLINE_S, self.run.longest_deadline_s) + KILL_DELAY_S
        loop.call_later(NEW_CONNECTIONS_S, self._stop_connecting)
        process.send_signal(signal.SIGTERM)
        self.run.stopping_at.append(loop.time())
        for signal_number in self.rng.choices(
            (signal.SIGTERM, signal.SIGHUP, signal.SIGINT), k=self.rng.randrange(3)
        ):
            await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.4)))
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal_number)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(kill_at):
                await process.wait()
        self.run.killed_at.append(loop.time())
        if process.returncode is None:
            process.kill()
        elif process.returncode != 0:
            self.run.faults.append(f"the process exited with {process.returncode}")
        await process.wait()
        self._stop_connecting()
        await asyncio.sleep(0.1)  # time for the kernel's last packets to the clients

    def _stop_connecting(self) -> None:
        self.may_connect = False


def _log_faults(text: str) -> list[str]:
    """Return the errors that a process logged, except for a half-written configuration, which it retries."""
    errors = [line for line in text.splitlines() if " ERROR " in line or "Traceback" in line]
    return [f"log: {line}" for line in errors if "configuration kept as it was:" not in line]


def find_faults(run: SoakRun) -> list[str]:
    """Return the broken rules of a run, one line per fault."""
    faults = list(run.faults)
    allowance_s = run.lag_s + run.cpu_wait_s + RULE_SLACK_S
    for ident, request in run.requests.items():
        attempts = run.attempts.get(ident, [])
        answer_faults = _answer_faults(run, request, attempts, ident, allowance_s)
        faults += [f"{ident!r} {request.kind}: {fault}" for fault in answer_faults]
        faults += [
            f"{ident!r} {request.kind}: {fault}"
            for fault in _attempt_faults(run, request, attempts, allowance_s)
        ]
    return faults


def _answer_faults(
    run: SoakRun, request: SentRequest, attempts: list[HostAttempt], ident: bytes, allowance_s: float
) -> list[str]:
    if request.left_at is not None or not request.is_complete:
        return []
    ran = [attempt for attempt in attempts if not attempt.never_ran]
    if request.is_cut or (request.is_behind_cut and not attempts):
        return []  # its value has failed, visibly; or it was not read behind such a value
    if not request.answered_at:
        if _is_killed(run, request):
            return []
        if attempts:
            return [f"lost: a host got it, but its client got no answer ({request})"]
        may_have_crossed_close = (
            request.ended_at is None
            or request.was_reset
            or request.ended_at - request.sent_at < CROSSING_S + allowance_s
        )
        return (
            []
            if may_have_crossed_close
            else [f"lost: no answer before its connection closed in order ({request})"]
        )
    faults = []
    due = max(request.sent_at + request.patience_s, request.previous_answer_at) + ANSWER_GRACE_S
    replied_at = request.answered_at
    if request.answer == long_value(ident):  # sent as it arrives: its beginning has to come in time
        replied_at = request.first_byte_at or replied_at
    if replied_at > due + allowance_s:
        faults.append(f"lost: answered late ({request})")
    if isinstance(request.answer, bytes) and request.answer not in (
        ident,
        medium_value(ident),
        long_value(ident),
    ):
        faults.append(f"lost: served {request.answer!r}, which is the answer to another request")
    if isinstance(request.answer, hiredis.ReplyError) and str(request.answer).startswith("BUSY"):
        if request.kind == "pay" and ran:
            faults.append("refused although it may have run")
        if (
            request.kind == "send"
            and ran
            and request.answered_at > ran[0].began_at + run.window_s + allowance_s
        ):
            faults.append("refused after its window for repeats")
    elif not isinstance(request.answer, bytes) and not str(request.answer).startswith("ERR failed"):
        faults.append(f"answered {request.answer!r}")
    return faults


def _attempt_faults(
    run: SoakRun, request: SentRequest, attempts: list[HostAttempt], allowance_s: float
) -> list[str]:
    faults = []
    first_ran: HostAttempt | None = None
    for number, attempt in enumerate(attempts):
        if (
            attempt.time_left_s
            > request.sent_at + request.patience_s - attempt.began_at + DEADLINE_SLACK_S + allowance_s
        ):
            faults.append(f"announced {attempt.time_left_s} s to its host, which is too long")
        if request.left_at is not None and attempt.began_at > request.left_at + LEFT_GRACE_S + allowance_s:
            faults.append("lost: attempt began after its client had left")
        if _is_cut_in_progress(run, request, attempt, allowance_s):
            faults.append(f"cut: its answer was in progress ({attempt}, {request})")
        drained_at = run.drained_at.get(attempt.host)
        if drained_at is not None and attempt.began_at > drained_at + DRAIN_GRACE_S + allowance_s:
            faults.append("drain: attempt began at a draining host")
        for earlier in attempts[:number] if request.kind == "pay" or not run.may_duplicate else ():
            if earlier.ended_at is None or earlier.ended_at > attempt.began_at + allowance_s:
                faults.append("duplicate: an earlier attempt is still open")
        if first_ran is not None and request.kind == "pay":
            faults.append("duplicate: ran twice")
        if (
            first_ran is not None
            and request.kind == "send"
            and attempt.began_at > first_ran.began_at + run.window_s + allowance_s
        ):
            faults.append("duplicate: repeated after its window for repeats")
        if not attempt.never_ran:
            first_ran = first_ran or attempt
    return faults


def _is_killed(run: SoakRun, request: SentRequest) -> bool:
    """Return whether SIGKILL found a request unanswered that had come before it must be answered by then."""
    return any(
        request.ended_at is not None
        and request.ended_at >= killed_at
        and request.sent_at <= stopping_at + MUST_ANSWER_AFTER_S
        for stopping_at, killed_at in zip(run.stopping_at, run.killed_at, strict=False)
    )


def _is_cut_in_progress(run: SoakRun, request: SentRequest, attempt: HostAttempt, allowance_s: float) -> bool:
    """Return whether the gateway ended an attempt that its host was still answering, without need.

    It may once the client has its reply or is gone, once the deadline has come, and at the end of a process.
    """
    if attempt.cut_at is None or not request.is_complete or request.left_at or run.may_duplicate:
        return False
    last_s = min(LONGEST_DEADLINE_S, run.longest_deadline_s)
    ends = [request.sent_at + request.patience_s, *(at + last_s for at in run.stopping_at)]
    ends += [at for at in (request.ended_at, request.answered_at) if at]
    first_end = min((end for end in ends if end > attempt.began_at), default=math.inf)
    return attempt.cut_at < first_end - allowance_s


def run_seed(seed: int) -> tuple[SoakRun, list[str]]:
    """Perform the run of a seed; returns it with its faults, one line each."""
    run = SoakRun(seed)
    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(SoakRunner(run, Path(folder)).execute())
    return run, find_faults(run)


async def _run_seeds(seeds: range, parallel: int) -> int:
    """Perform each run in a process of its own, several at once; returns how many runs had a fault."""
    semaphore, runs_with_faults = asyncio.Semaphore(parallel), 0

    async def one(seed: int) -> None:
        nonlocal runs_with_faults
        async with semaphore:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "tests.soak", "--seed", str(seed), stdout=-1
            )
            output, _ = await process.communicate()
            runs_with_faults += process.returncode != 0
            print(output.decode(), end="", flush=True)

    await asyncio.gather(*[one(seed) for seed in seeds])
    return runs_with_faults


def main() -> int:
    """Perform one run or many, and print one line per run and per fault; returns 1 if there was a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="run only this seed")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--days", type=int, default=50)
    parser.add_argument("--beside", type=int, default=4)
    options = parser.parse_args()
    if options.seed is None:
        runs_with_faults = asyncio.run(
            _run_seeds(range(options.first, options.first + options.days), options.beside)
        )
        print(f"{options.days} days, {runs_with_faults} with a fault")
        return min(runs_with_faults, 1)
    run, faults = run_seed(options.seed)
    answered = sum(bool(request.answered_at) for request in run.requests.values())
    served = sum(isinstance(request.answer, bytes) for request in run.requests.values())
    print(
        f"seed {options.seed}: deadline {run.longest_deadline_s} s, window {run.window_s} s, "
        f"idle connections {run.has_idle_connections}, {len(run.hanging_hosts)} hosts hang; "
        f"{len(run.requests)} requests, {answered} answered, {served} served, "
        f"lag {run.lag_s:.3f} s, waited for a core {run.cpu_wait_s:.3f} s; {len(faults)} faults"
    )
    for fault in faults[:10]:
        print(f"  {fault}")
    return min(len(faults), 1)


if __name__ == "__main__":
    sys.exit(main())
