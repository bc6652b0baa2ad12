"""An upgrade under load: an old and a new process on one inherited listener."""

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
from rainturn.node.handover import POLL_S, STATE_FILE, SUCCESSOR_FILE, Handover, inherited_listener
from rainturn.node.host_list import parse_address
from rainturn.saved_state import StateMismatch, restore_state, save_state
from tests.helpers import PLAN, GatewayDriver, of_type, settings
from tests.sockets import (
    DEFAULT_SETTINGS,
    Client,
    CounterHandler,
    Discovery,
    RespServer,
    host_entry,
    run,
    send_control_call,
    success_answer,
    with_timeout,
)

STARTED_PROCESSES: list[asyncio.subprocess.Process] = []


@pytest.fixture(autouse=True)
def _kill_remaining_processes() -> Iterator[None]:
    """Kill the processes that a failed test leaves running."""
    yield
    for process in STARTED_PROCESSES:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)
    STARTED_PROCESSES.clear()


class GatewayProcess:
    """A gateway process that inherits the test's listener; `changes` are made to its configuration."""

    def __init__(
        self,
        folder: Path,
        listener: socket.socket,
        environment: dict[str, str] | None = None,
        **changes: Any,
    ) -> None:
        self.folder, self.listener, self.changes = folder, listener, changes
        self.environment = environment or {}
        self.control = ("", 0)  # known once the process has started

    async def start(self) -> GatewayProcess:
        path = self.folder / f"{len(STARTED_PROCESSES)}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "2a",
                    "settings": DEFAULT_SETTINGS,
                    "limits": {"memory_mb": 192, "sockets": 256},
                    "control": "127.0.0.1:0",
                }
                | self.changes
            )
        )
        shared_folder = self.folder / "run"
        shared_folder.mkdir(exist_ok=True)
        fd = self.listener.fileno()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rainturn.node",
            stderr=asyncio.subprocess.PIPE,
            pass_fds=[fd],
            env=os.environ
            | {"EDGE_CONFIG": str(path), "EDGE_LISTEN_FD": str(fd), "TMPDIR": str(shared_folder)}
            | self.environment,
        )
        STARTED_PROCESSES.append(self.process)
        self.earlier_lines: list[bytes] = []  # log lines before the one that was waited for
        line = await self.wait_for_line(b"control: listening")
        self.control = parse_address(line.split()[-1].decode())
        await self.wait_for_line(b"listening on 127.0.0.1:%d" % self.listener.getsockname()[1])
        return self

    async def wait_for_line(self, text: bytes) -> bytes:
        assert self.process.stderr is not None
        while text not in (line := await with_timeout(self.process.stderr.readline())):
            self.earlier_lines.append(line)
            assert line, self.earlier_lines
        return bytes(line)

    async def metric(self, name: str) -> int:
        _, text = await send_control_call(self.control, "/control/counters")
        return int(text.partition(f"gateway.{name}:")[2].partition("|")[0])

    async def is_ready(self) -> bool:
        return (await send_control_call(self.control, "/control/ready"))[0] == 200

    async def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        assert await with_timeout(self.process.wait()) == 0


def test_new_process_takes_over_listener_without_losing_requests(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if words[2] == b"held":
                await release.wait()
            return success_answer(words[2])

        host, counter = await RespServer(handler).start(), await RespServer(CounterHandler()).start()
        discovery = await Discovery().start()
        known = {"seq": 1, "whole": True, "hosts": [host_entry("h", host.dial)]}
        changes: dict[str, Any] = {
            "counter": counter.dial,
            "known": known,
            "discovery": f"{discovery.address[0]}:{discovery.address[1]}",
        }
        for _ in range(2):
            discovery.put(known)
            discovery.answers.put_nowait(None)  # the watch stays open
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
            old = await GatewayProcess(tmp_path, listener, **changes).start()
            idle, busy = await Client.connect(address), await Client.connect(address)
            idle.send_request(b"1")
            assert await idle.read_answer() == b"1"
            busy.send_request(b"held")
            while (await with_timeout(host.commands.get()))[2] != b"held":
                pass
            new = await GatewayProcess(tmp_path, listener, **changes).start()
            assert any(b"carried on" in line for line in new.earlier_lines)
            assert await new.is_ready() and await old.is_ready()
            old.process.send_signal(signal.SIGTERM)
            await old.wait_for_line(b"stopping")
            assert await with_timeout(idle.reader.read()) == b""  # idle, so it is closed
            for n in range(20):  # the new process accepts all of these
                client = await Client.connect(address)
                client.send_request(b"x%d" % n)
                assert await client.read_answer() == b"x%d" % n
                client.writer.close()
            assert await new.metric("handled.read.passed") == 20
            again = await Client.connect(address)
            again.send_request(b"held")  # which the other process has sent to its host
            assert "is open" in str(await again.read_answer())
            release.set()
            assert await busy.read_answer() == b"held"
            assert await with_timeout(busy.reader.read()) == b""
            assert await with_timeout(old.process.wait()) == 0
            await new.wait_for_line(b"has ended")
            await new.stop()
        for server in (host.server, counter.server, discovery.server):
            server.close()

    run(main())


@pytest.mark.parametrize(
    "state",
    [b"", b"{", b"[1]", b'{"by": 7}', json.dumps({"by": "gone", "at": time.time(), "state": {}}).encode()],
)
def test_process_starts_without_state_if_state_file_is_unusable(tmp_path: Path, state: bytes) -> None:
    async def main() -> None:
        host = await RespServer(lambda words: success_answer()).start()
        (tmp_path / "run").mkdir()
        (tmp_path / "run" / STATE_FILE).write_bytes(state)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            known = {"seq": 1, "whole": True, "hosts": [host_entry("h", host.dial)]}
            gateway = await GatewayProcess(
                tmp_path, listener, counter="127.0.0.1:1", discovery="127.0.0.1:1", known=known
            ).start()
            assert await gateway.is_ready()
            await gateway.stop()
        host.server.close()

    run(main())


def test_only_listening_socket_is_inherited() -> None:
    assert inherited_listener({}) is None
    with socket.socket() as unbound:
        for text in ("x", "999999", str(unbound.fileno())):
            assert inherited_listener({"EDGE_LISTEN_FD": text}) is None
        assert unbound.fileno() >= 0 and unbound.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)  # still open


def test_state_goes_to_one_successor_which_takes_over_when_predecessor_ends(tmp_path: Path) -> None:
    async def main() -> None:
        overlaps: list[tuple[str, int | None, bool]] = []

        def handover_of(name: str) -> Handover:
            return Handover(
                tmp_path,
                lambda: {"from": name},
                lambda other_descriptors, is_older: overlaps.append((name, other_descriptors, is_older)),
            )

        old, new = handover_of("old"), handover_of("new")
        assert await old.request_state() is None
        old.start()
        assert await new.request_state() == {"from": "old"}
        new.start()
        other = handover_of("other")
        assert await other.request_state() is None or other.predecessor  # not the state for the first one
        old.announce_end()
        while ("new", None, False) not in overlaps:
            await asyncio.sleep(0.01)
        assert json.loads((tmp_path / STATE_FILE).read_bytes())["by"] == new.name
        assert ("old", 0, True) in overlaps and not (tmp_path / SUCCESSOR_FILE).exists()
        new.announce_end()

    run(main())


def _two_drives() -> tuple[GatewayDriver, GatewayDriver]:
    config = settings(plans=(replace(PLAN, rate=0.0, burst=0.0, parallel=3),))
    return GatewayDriver(config), GatewayDriver(config)


def test_two_processes_of_one_gateway_share_slots_of_a_customer() -> None:
    total, sent = 0.0, 0
    old, new = _two_drives()
    for driver in (old, new):
        driver.handle(it.ProcessOverlap(True))
    for driver in (old, new, old, new, new):
        calls = of_type(driver.start_request(time_limit_ms=500.0)[1], it.Count)
        while calls:
            call = calls.pop(0)
            total += call.amount
            actions = driver.answer_count(call, total)
            sent += len(of_type(actions, it.Send))
            calls += of_type(actions, it.Count)
    assert sent == 3
    open_attempts = old.gateway.customers[1].open_attempts, new.gateway.customers[1].open_attempts
    assert sum(open_attempts) == 3 and all(open_attempts)


def test_successor_restores_quotas_suspects_and_answer_times_and_waits_for_host_list() -> None:
    old, new = GatewayDriver(settings(), host_count=3), GatewayDriver(settings(), host_count=3)
    number, actions = old.start_request(customer=7)
    total = 0.0
    for call in of_type(actions, it.Count):
        total += call.amount + 5.0
        actions = old.answer_count(call, total)
    assert of_type(actions, it.Send)
    suspect = old.gateway.hosts[2]
    suspect.failures, suspect.failing_since = 2, old.now
    state = json.loads(json.dumps(save_state(old.gateway)))
    restore_state(new.gateway, new.now, state)
    assert new.gateway.customers[7].level == old.gateway.customers[7].level
    assert new.gateway.customers[7].total_window == old.gateway.customers[7].total_window
    assert new.gateway.skipped_count() == 1
    assert not new.gateway.is_ready(new.now)  # its host list may be outdated
    assert new.gateway.is_ready(new.now + 1000.0)
    new.handle(
        it.HostList(it.ListKind.FULL, tuple(it.HostEntry(n + 1, 0, 0, it.HostState.READY) for n in range(3)))
    )
    assert new.gateway.is_ready(new.now)


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
def test_malformed_state_changes_nothing(change: dict[str, Any]) -> None:
    driver = GatewayDriver(settings(), host_count=3)
    before = dict[str, Any](save_state(driver.gateway))
    with pytest.raises(StateMismatch):
        restore_state(driver.gateway, driver.now, before | change)
    assert save_state(driver.gateway) == before and driver.gateway.is_ready(driver.now)


def test_unreported_units_are_reported_to_counter_at_shutdown() -> None:
    driver = GatewayDriver(settings())
    _, actions = driver.start_request()
    while calls := of_type(actions, it.Count):
        actions = driver.answer_count(calls[0], 24.0)
    customer = driver.gateway.customers[1]
    customer.unreported = 3.0
    assert [call.amount for call in of_type(driver.handle(it.ShuttingDown()), it.Count)] == [3.0]


STEPPED_CLOCK = """
import os, time
real, real_ns = time.time, time.time_ns
def offset():
    with open(os.environ["CLOCK_OFFSET_FILE"]) as file:
        return float(file.read())
time.time = lambda: real() + offset()
time.time_ns = lambda: real_ns() + int(offset() * 1e9)
"""


def test_two_processes_agree_on_windows_after_steps_of_wall_clock(tmp_path: Path) -> None:
    """The wall clock is set forward by an hour between their starts, and back by two while both run."""

    async def main() -> None:
        host, counter = (
            await RespServer(lambda words: success_answer()).start(),
            await RespServer(CounterHandler()).start(),
        )
        (tmp_path / "sitecustomize.py").write_text(STEPPED_CLOCK)
        (tmp_path / "offset").write_text("0")
        clock = {"PYTHONPATH": str(tmp_path), "CLOCK_OFFSET_FILE": str(tmp_path / "offset")}
        changes: dict[str, Any] = {
            "counter": counter.dial,
            "known": {"seq": 1, "whole": True, "hosts": [host_entry("h", host.dial)]},
            "discovery": "127.0.0.1:1",
        }

        async def window(gateway: GatewayProcess) -> int:
            """Return the number of the window in which a process counts a new request."""
            while not counter.commands.empty():
                counter.commands.get_nowait()  # of the request before
            client = await Client.connect(gateway.listener.getsockname())
            client.send_request(b"1")
            assert await client.read_answer() == b"value"
            client.writer.close()
            return int((await with_timeout(counter.commands.get()))[1]) % (1 << 30)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            old = await GatewayProcess(tmp_path, listener, environment=clock, **changes).start()
            first_window = await window(old)
            (tmp_path / "offset").write_text("3600")
            new = await GatewayProcess(tmp_path, listener, environment=clock, **changes).start()
            assert any(b"carried on" in line for line in new.earlier_lines)
            (tmp_path / "offset").write_text("-3600")
            await asyncio.sleep(2 * POLL_S)
            old.process.send_signal(signal.SIGTERM)
            assert await with_timeout(old.process.wait()) == 0
            assert abs(await window(new) - first_window) < 100  # of 3 s each
            await new.stop()
        for server in (host.server, counter.server):
            server.close()

    run(main())


def test_process_that_cannot_write_for_a_while_does_not_count_as_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A full folder or a failing disk stops the writes of a process that still serves.

    Guards against the other process using the descriptors of that process as well.
    """

    async def main() -> None:
        overlaps: list[tuple[str, int | None]] = []
        placeholders = [
            await asyncio.create_subprocess_exec(sys.executable, "-c", "input()", stdin=-1) for _ in "ab"
        ]
        STARTED_PROCESSES.extend(placeholders)
        handovers = {
            name: Handover(
                tmp_path,
                dict,
                lambda other_descriptors, is_older, name=name: overlaps.append((name, other_descriptors)),  # type: ignore[misc]
            )
            for name in ("old", "new")
        }
        old, new = handovers["old"], handovers["new"]
        for side, process in zip((old, new), placeholders, strict=True):
            side.name = f"{process.pid}-1"  # two processes that run on this machine
        await old.request_state()
        old.start()
        assert await new.request_state() == {}
        new.start()
        monkeypatch.setattr(handover, "STALE_S", 0.3)
        write_text = Path.write_text

        def fail(path: Path, text: str) -> int:
            write_text(path, text[: len(text) // 2])  # the first half is written
            raise OSError(errno.ENOSPC, "No space left on device")

        monkeypatch.setattr(Path, "write_text", fail)
        await asyncio.sleep(0.3 + 3 * POLL_S)
        monkeypatch.setattr(Path, "write_text", write_text)
        await asyncio.sleep(3 * POLL_S)
        assert ("new", None) not in overlaps and ("old", None) not in overlaps
        assert sorted(path.name for path in tmp_path.iterdir()) == sorted([STATE_FILE, SUCCESSOR_FILE])
        placeholders[0].kill()  # it announces no end
        await placeholders[0].wait()
        assert old.task is not None
        old.task.cancel()
        while ("new", None) not in overlaps:
            await asyncio.sleep(0.01)
        new.announce_end()

    run(main())
