"""A new version under load: two processes on one inherited listener."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from rainturn import interface as it
from rainturn.node import handover
from rainturn.node.handover import BEAT_S, NOTE, STATE, Handover, inherited
from rainturn.state import StateMismatch, restore_state, save_state
from tests.helpers import PLAN, Drive, of, settings
from tests.sockets import WIRE, Client, Discovery, Peer, Totals, control, entry, run, served, soon


def _free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


STARTED: list[asyncio.subprocess.Process] = []


@pytest.fixture(autouse=True)
def _no_process_is_left() -> Iterator[None]:
    """A test that fails leaves no process behind."""
    yield
    for process in STARTED:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)
    STARTED.clear()


class Gateway:
    """A process on the listener that the test holds."""

    def __init__(
        self,
        folder: Path,
        listener: socket.socket,
        environment: dict[str, str] | None = None,
        **change: Any,
    ) -> None:
        self.folder, self.listener, self.change = folder, listener, change
        self.environment = environment or {}
        text = _free_address()
        self.control = ("127.0.0.1", int(text.rpartition(":")[2]))

    async def start(self) -> Gateway:
        path = self.folder / f"{self.control[1]}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "2a",
                    "settings": WIRE,
                    "limits": {"memory_mb": 192, "sockets": 256},
                    "control": f"127.0.0.1:{self.control[1]}",
                }
                | self.change
            )
        )
        run_in = self.folder / "run"
        run_in.mkdir(exist_ok=True)
        fd = self.listener.fileno()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rainturn.node",
            stderr=asyncio.subprocess.PIPE,
            pass_fds=[fd],
            env=os.environ
            | {"EDGE_CONFIG": str(path), "EDGE_LISTEN_FD": str(fd), "TMPDIR": str(run_in)}
            | self.environment,
        )
        STARTED.append(self.process)
        self.lines: list[bytes] = []
        await self.line(b"listening on 127.0.0.1:%d" % self.listener.getsockname()[1])
        return self

    async def line(self, word: bytes) -> bytes:
        assert self.process.stderr is not None
        while word not in (line := await soon(self.process.stderr.readline())):
            self.lines.append(line)
            assert line, self.lines
        return bytes(line)

    async def figure(self, name: str) -> int:
        _, text = await control(self.control, "/control/counters")
        return int(text.partition(f"gateway.{name}:")[2].partition("|")[0])

    async def ready(self) -> bool:
        return (await control(self.control, "/control/ready"))[0] == 200

    async def end(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        assert await soon(self.process.wait()) == 0


def test_a_new_process_takes_over_the_listener_and_no_request_is_lost(tmp_path: Path) -> None:
    async def main() -> None:
        held = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if words[2] == b"held":
                await held.wait()
            return served(words[2])

        host, counter = await Peer(handler).start(), await Peer(Totals()).start()
        agent = await Discovery().start()
        known = {"seq": 1, "whole": True, "hosts": [entry("h", host.dial)]}
        change: dict[str, Any] = {
            "counter": counter.dial,
            "known": known,
            "discovery": f"{agent.address[0]}:{agent.address[1]}",
        }
        for _ in range(2):
            agent.put(known)
            agent.answers.put_nowait(None)  # its watch stays open
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
            old = await Gateway(tmp_path, listener, **change).start()
            idle, busy = await Client.connect(address), await Client.connect(address)
            idle.ask(b"1")
            assert await idle.answer() == b"1"
            busy.ask(b"held")
            while (await soon(host.commands.get()))[2] != b"held":
                pass
            new = await Gateway(tmp_path, listener, **change).start()
            assert any(b"carried on" in line for line in new.lines)
            assert await new.ready() and await old.ready()
            old.process.send_signal(signal.SIGTERM)
            await old.line(b"stopping")
            assert await soon(idle.reader.read()) == b""  # at rest: closed
            for n in range(20):  # none of these is left at the old one's door
                client = await Client.connect(address)
                client.ask(b"x%d" % n)
                assert await client.answer() == b"x%d" % n
                client.writer.close()
            assert await new.figure("handled.read.passed") == 20
            held.set()
            assert await busy.answer() == b"held"
            assert await soon(busy.reader.read()) == b""
            assert await soon(old.process.wait()) == 0
            await new.line(b"has ended")
            await new.end()
        for server in (host.server, counter.server, agent.server):
            server.close()

    run(main())


@pytest.mark.parametrize(
    "state",
    [b"", b"{", b"[1]", b'{"by": 7}', json.dumps({"by": "gone", "at": time.time(), "state": {}}).encode()],
)
def test_a_file_that_says_nothing_of_use_means_a_plain_start(tmp_path: Path, state: bytes) -> None:
    async def main() -> None:
        host = await Peer(lambda words: served()).start()
        (tmp_path / "run").mkdir()
        (tmp_path / "run" / STATE).write_bytes(state)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            known = {"seq": 1, "whole": True, "hosts": [entry("h", host.dial)]}
            gateway = await Gateway(
                tmp_path, listener, counter="127.0.0.1:1", discovery="127.0.0.1:1", known=known
            ).start()
            assert await gateway.ready()
            await gateway.end()
        host.server.close()

    run(main())


def test_only_a_socket_that_listens_is_taken() -> None:
    assert inherited({}) is None
    with socket.socket() as plain:
        for text in ("x", "999999", str(plain.fileno())):
            assert inherited({"EDGE_LISTEN_FD": text}) is None
        assert plain.fileno() >= 0 and plain.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)  # still open


def test_a_state_is_for_one_process_and_ends_with_its_writer(tmp_path: Path) -> None:
    async def main() -> None:
        told: list[tuple[str, int | None, bool]] = []

        def side(name: str) -> Handover:
            return Handover(
                tmp_path, lambda: {"from": name}, lambda held, older: told.append((name, held, older))
            )

        old, new = side("old"), side("new")
        assert await old.begin() is None
        old.start()
        assert await new.begin() == {"from": "old"}
        new.start()
        other = side("other")
        assert await other.begin() is None or other.predecessor  # another is not given the first one's
        old.over()
        while ("new", None, False) not in told:
            await asyncio.sleep(0.01)
        assert json.loads((tmp_path / STATE).read_bytes())["by"] == new.name
        assert ("old", 0, True) in told and not (tmp_path / NOTE).exists()
        new.over()

    run(main())


def _pair() -> tuple[Drive, Drive]:
    config = settings(plans=(replace(PLAN, rate=0.0, burst=0.0, parallel=3),))
    return Drive(config), Drive(config)


def test_two_processes_of_one_gateway_hold_a_cap_together() -> None:
    total, sent = 0.0, 0
    old, new = _pair()
    for drive in (old, new):
        drive.feed(it.ProcessOverlap(True))
    for drive in (old, new, old, new, new):
        calls = of(drive.arrive(time_limit_ms=500.0)[1], it.Count)
        while calls:
            call = calls.pop(0)
            total += call.amount
            actions = drive.count(call, total)
            sent += len(of(actions, it.Send))
            calls += of(actions, it.Count)
    assert sent == 3
    held = old.gate.customers[1].open_attempts, new.gate.customers[1].open_attempts
    assert sum(held) == 3 and all(held)


def test_a_successor_carries_on_with_quotas_suspects_and_answer_times_and_waits_for_a_list() -> None:
    old, new = Drive(settings(), fleet=3), Drive(settings(), fleet=3)
    number, actions = old.arrive(customer=7)
    total = 0.0
    for call in of(actions, it.Count):
        total += call.amount + 5.0
        actions = old.count(call, total)
    assert of(actions, it.Send)
    bad = old.gate.hosts[2]
    bad.failures, bad.failing_since = 2, old.now
    state = json.loads(json.dumps(save_state(old.gate)))
    restore_state(new.gate, new.now, state)
    assert new.gate.customers[7].level == old.gate.customers[7].level
    assert new.gate.customers[7].total_window == old.gate.customers[7].total_window
    assert new.gate.skipped_count() == 1
    assert not new.gate.is_ready(new.now)  # its list may be old
    assert new.gate.is_ready(new.now + 1000.0)
    new.feed(
        it.HostList(it.ListKind.FULL, tuple(it.HostEntry(n + 1, 0, 0, it.HostState.READY) for n in range(3)))
    )
    assert new.gate.is_ready(new.now)


@pytest.mark.parametrize(
    "change",
    [
        {"hosts": {"1": [1]}},
        {"customers": [[1, 99, 1.0]]},
        {"customers": [[1, 0, 1.0, "x"]]},
        {"capacity": []},
        {"usual_arrivals": []},
        {"answer_times": [[1.0, float("nan")]]},
        {"pass_shares": [[1, 2], [3, 4], [5, 6]]},
        {"counter_load": None},
        {"version": 1},
        {"version": None},
    ],
)
def test_a_damaged_state_changes_nothing(change: dict[str, Any]) -> None:
    drive = Drive(settings(), fleet=3)
    before = dict[str, Any](save_state(drive.gate))
    with pytest.raises(StateMismatch):
        restore_state(drive.gate, drive.now, before | change)
    assert save_state(drive.gate) == before and drive.gate.is_ready(drive.now)


def test_what_the_count_has_not_heard_is_told_before_the_end() -> None:
    drive = Drive(settings())
    _, actions = drive.arrive()
    while calls := of(actions, it.Count):
        actions = drive.count(calls[0], 24.0)
    customer = drive.gate.customers[1]
    customer.unreported = 3.0
    assert [call.amount for call in of(drive.feed(it.ShuttingDown()), it.Count)] == [3.0]


CLOCK = """
import os, time
real, real_ns = time.time, time.time_ns
def offset():
    with open(os.environ["CLOCK_OFFSET_FILE"]) as file:
        return float(file.read())
time.time = lambda: real() + offset()
time.time_ns = lambda: real_ns() + int(offset() * 1e9)
"""


def test_two_processes_agree_on_windows_though_the_wall_clock_was_stepped(tmp_path: Path) -> None:
    """The clock is set forward by an hour between their starts, and back by two while both run."""

    async def main() -> None:
        host, counter = await Peer(lambda words: served()).start(), await Peer(Totals()).start()
        (tmp_path / "sitecustomize.py").write_text(CLOCK)
        (tmp_path / "offset").write_text("0")
        clock = {"PYTHONPATH": str(tmp_path), "CLOCK_OFFSET_FILE": str(tmp_path / "offset")}
        change: dict[str, Any] = {
            "counter": counter.dial,
            "known": {"seq": 1, "whole": True, "hosts": [entry("h", host.dial)]},
            "discovery": "127.0.0.1:1",
        }

        async def window(gateway: Gateway) -> int:
            """The window that a process counts a new request in."""
            while not counter.commands.empty():
                counter.commands.get_nowait()  # of the one before
            client = await Client.connect(gateway.listener.getsockname())
            client.ask(b"1")
            assert await client.answer() == b"value"
            client.writer.close()
            return int((await soon(counter.commands.get()))[1]) % (1 << 30)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            old = await Gateway(tmp_path, listener, environment=clock, **change).start()
            first = await window(old)
            (tmp_path / "offset").write_text("3600")
            new = await Gateway(tmp_path, listener, environment=clock, **change).start()
            assert any(b"carried on" in line for line in new.lines)
            (tmp_path / "offset").write_text("-3600")
            await asyncio.sleep(2 * BEAT_S)
            old.process.send_signal(signal.SIGTERM)
            assert await soon(old.process.wait()) == 0
            assert abs(await window(new) - first) < 100  # of 3 s each
            await new.end()
        for server in (host.server, counter.server):
            server.close()

    run(main())


def test_a_process_that_cannot_write_for_a_while_has_not_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The folder is full, or its disk fails: the other one must not take the room of one that serves."""

    async def main() -> None:
        told: list[tuple[str, int | None]] = []
        others = [
            await asyncio.create_subprocess_exec(sys.executable, "-c", "input()", stdin=-1) for _ in "ab"
        ]
        STARTED.extend(others)
        sides = {
            name: Handover(tmp_path, dict, lambda held, older, name=name: told.append((name, held)))  # type: ignore[misc]
            for name in ("old", "new")
        }
        old, new = sides["old"], sides["new"]
        for side, process in zip((old, new), others, strict=True):
            side.name = f"{process.pid}-1"  # two processes of this machine
        await old.begin()
        old.start()
        assert await new.begin() == {}
        new.start()
        monkeypatch.setattr(handover, "STALE_S", 0.3)
        write_text = Path.write_text

        def fail(path: Path, text: str) -> int:
            write_text(path, text[: len(text) // 2])  # half of it is left
            raise OSError(errno.ENOSPC, "No space left on device")

        monkeypatch.setattr(Path, "write_text", fail)
        await asyncio.sleep(0.3 + 3 * BEAT_S)
        monkeypatch.setattr(Path, "write_text", write_text)
        await asyncio.sleep(3 * BEAT_S)
        assert ("new", None) not in told and ("old", None) not in told
        assert sorted(path.name for path in tmp_path.iterdir()) == sorted([STATE, NOTE])
        others[0].kill()  # without a word
        await others[0].wait()
        assert old.task is not None
        old.task.cancel()
        while ("new", None) not in told:
            await asyncio.sleep(0.01)
        new.over()

    run(main())
