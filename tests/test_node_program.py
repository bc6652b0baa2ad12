"""The whole program as a process: configuration, start, reload and shutdown."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from rainturn.node.client_listener import ACCEPT_BATCH
from rainturn.node.host_list import parse_address
from rainturn.node.resp import encode_array
from rainturn.node.shutdown import answer_within_s, shut_down
from rainturn.settings import settings_from
from tests.program import next_log_line, start_program, write_config
from tests.sockets import (
    DEFAULT_SETTINGS,
    Client,
    CounterHandler,
    Discovery,
    GatewaySetup,
    RespServer,
    host_entry,
    run,
    success_answer,
    with_timeout,
)


@pytest.mark.parametrize(
    "change",
    [
        {"settings": None},
        {"settings": {}},
        {"listen": "nowhere"},
        {"listen": "127.0.0.1:99999"},
        {"seed": "x"},
        {"counter": 7},
        {"settings": DEFAULT_SETTINGS | {"localities": [1]}},
        {"limits": {"sockets": "many"}},
        "text",
        "taken",
    ],
)
def test_unusable_configuration_gives_one_error_line_and_exit_code(tmp_path: Path, change: Any) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        path = write_config(tmp_path, **({"listen": listen} | (change if isinstance(change, dict) else {})))
        if change == "text":
            Path(path).write_text("no JSON")
        done = subprocess.run(
            [sys.executable, "-m", "rainturn.node"],
            capture_output=True,
            timeout=30,
            env=os.environ | {"EDGE_CONFIG": path},
        )
    lines = done.stderr.decode().splitlines()
    assert done.returncode != 0 and len(lines) == 1 and lines[0].startswith("rainturn: "), lines


def test_sigterm_answers_open_requests_and_exits_with_0(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes | None:
            if words[2] == b"silent":
                return None
            await release.wait()
            return success_answer()

        host, counter = await RespServer(handler).start(), await RespServer(CounterHandler()).start()
        path = write_config(
            tmp_path,
            counter=counter.dial,
            known={"seq": 1, "whole": True, "hosts": [host_entry("h", host.dial)]},
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rainturn.node",
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"EDGE_CONFIG": path},
        )
        assert process.stderr is not None
        while b"listening" not in (line := await with_timeout(process.stderr.readline())):
            assert line, "it ended"
        address = parse_address(line.decode().split()[-1])
        hostile = await Client.connect(address)
        hostile.writer.write(b"*2000000000\r\n")  # a list of this length would take 16 GB
        assert str(await hostile.read_answer()).startswith("-ERR")
        hostile.writer.close()
        idle, client, silent = [await Client.connect(address) for _ in range(3)]
        client.send_request(b"1")
        await with_timeout(host.commands.get())
        silent.send_request(b"silent", b"pay", time_limit_ms=5000, body=b"x")
        await with_timeout(host.commands.get())
        loop = asyncio.get_running_loop()
        sigterm_at = loop.time()
        process.send_signal(signal.SIGTERM)
        while b"stopping" not in await with_timeout(process.stderr.readline()):
            pass
        late = await Client.connect(address)  # still accepted
        late.send_request(b"2")
        await with_timeout(host.commands.get())
        assert await with_timeout(idle.reader.read()) == b""
        release.set()
        assert await client.read_answer() == b"value"
        assert await late.read_answer() == b"value"
        for done in (client, late):
            assert await with_timeout(done.reader.read()) == b""
        assert await silent.read_answer() == "-ERR failed"  # it may have run, so it can't be refused
        assert await with_timeout(process.wait()) == 0
        assert loop.time() - sigterm_at < 3.7
        for peer in (host, counter):
            peer.server.close()

    run(main())


@pytest.mark.parametrize(("longest_ms", "killed_s"), [(400, 1.1), (1200, 1.9), (3000, 3.7), (9000, 3.7)])
def test_open_requests_are_answered_before_sigkill_with_any_deadlines(
    longest_ms: float, killed_s: float
) -> None:
    """SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s at the most."""
    classes = [
        one | {"hard_limit_ms": longest_ms / (n + 1)} for n, one in enumerate(DEFAULT_SETTINGS["classes"])
    ]
    assert (
        killed_s - 0.6
        < answer_within_s(settings_from(DEFAULT_SETTINGS | {"classes": classes}))
        < killed_s - 0.3
    )


def test_late_request_after_sigterm_is_answered_before_sigkill_with_short_deadlines() -> None:
    async def main() -> None:
        classes = [one | {"hard_limit_ms": 1500} for one in DEFAULT_SETTINGS["classes"]]
        async with GatewaySetup(lambda words: None, settings={"classes": classes}) as setup:
            client, loop = await setup.client(), asyncio.get_running_loop()
            client.send_request(b"1", b"pay", body=b"x")  # keeps the connection open: its host hangs
            await with_timeout(setup.hosts[0].commands.get())
            sigterm_at = loop.time()
            shutdown = asyncio.create_task(shut_down(setup.parts, False))
            await asyncio.sleep(1.3)
            client.send_request(b"2", b"pay", body=b"x")  # its deadline is 2.8 s after SIGTERM
            assert await client.read_answer() == await client.read_answer() == "-ERR failed"
            assert loop.time() - sigterm_at < 1.5 + 0.7
            await shutdown

    run(main())


def test_queued_connections_are_accepted_before_listener_closes() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            waiting = []
            for _ in range(3 * ACCEPT_BATCH):  # without a turn of the loop between them
                sock = socket.create_connection(setup.address)
                sock.send(encode_array([b"PING"]))
                waiting.append(sock)
            setup.parts.clients.budget = len(waiting)
            await setup.parts.clients.stop(True)
            for sock in waiting:
                client = Client(*await asyncio.open_connection(sock=sock))
                assert await client.read_answer() == b"PONG"
                client.writer.close()

    run(main())


def test_further_sigterm_and_sighup_do_not_disturb_shutdown_with_hanging_hosts(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes | None:
            if words[2] == b"hangs":
                return None
            await release.wait()
            return success_answer()

        host, counter = await RespServer(handler).start(), await RespServer(CounterHandler()).start()
        path = write_config(
            tmp_path,
            counter=counter.dial,
            known={"seq": 1, "whole": True, "hosts": [host_entry("h", host.dial)]},
        )
        process, address = await start_program(path)
        client, hanging = [await Client.connect(address) for _ in range(2)]
        client.send_request(b"1")
        hanging.send_request(b"hangs", b"pay", time_limit_ms=1500, body=b"x")
        for _ in range(2):
            await with_timeout(host.commands.get())
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        await next_log_line(process, b"stopping")
        process.send_signal(signal.SIGHUP)
        await next_log_line(process, b"configuration read")
        process.send_signal(signal.SIGTERM)
        client.send_request(b"2")  # its connection is still open
        await with_timeout(host.commands.get())
        release.set()
        assert [await client.read_answer() for _ in range(2)] == [b"value"] * 2
        assert await hanging.read_answer() == "-ERR failed"
        assert await with_timeout(process.wait()) == 0
        for peer in (host, counter):
            peer.server.close()

    run(main())


def test_sigterm_during_start_ends_process_without_traceback(tmp_path: Path) -> None:
    async def main() -> None:
        path = write_config(tmp_path)
        for awaited_line in (b"", b"control", b"listening"):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rainturn.node",
                stderr=asyncio.subprocess.PIPE,
                env=os.environ | {"EDGE_CONFIG": path, "EDGE_CONTROL": "127.0.0.1:0"},
            )
            if awaited_line:
                await next_log_line(process, awaited_line)
            process.send_signal(signal.SIGTERM)
            rest = await with_timeout(process.stderr.read()) if process.stderr is not None else b""
            assert (
                await with_timeout(process.wait()) in (0, -signal.SIGTERM) and b"Traceback" not in rest
            ), rest

    run(main())


def test_sighup_moves_discovery_and_counter_without_loss_and_malformed_file_changes_nothing(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(words: list[bytes]) -> bytes:
            await release.wait()
            return success_answer(b"old")

        old, new = (
            await RespServer(slow).start(),
            await RespServer(lambda words: success_answer(b"new")).start(),
        )
        counters = [await RespServer(CounterHandler()).start() for _ in range(2)]
        discoveries = [await Discovery().start() for _ in range(2)]
        dials = [f"{host}:{port}" for host, port in (discovery.address for discovery in discoveries)]
        changes: dict[str, Any] = {
            "discovery": dials[0],
            "counter": counters[0].dial,
            "known": {"seq": 1, "whole": True, "hosts": [host_entry("h", old.dial)]},
        }
        discoveries[0].put({"seq": 900, "whole": True, "hosts": [host_entry("h", old.dial)]})
        process, address = await start_program(write_config(tmp_path, **changes), EDGE_DISCOVERY=dials[0])
        while "index=900" not in await with_timeout(discoveries[0].calls.get()):
            pass
        client, other = await Client.connect(address), await Client.connect(address)
        client.send_request(b"1")
        await with_timeout(old.commands.get())
        (tmp_path / "config.json").write_text("{")
        process.send_signal(signal.SIGHUP)
        await next_log_line(process, b"kept as it was")
        for _ in range(2):  # the second reload changes nothing
            write_config(tmp_path, **changes | {"discovery": dials[1], "counter": counters[1].dial})
            process.send_signal(signal.SIGHUP)
            await next_log_line(process, b"configuration read")
            discoveries[1].put(
                {
                    "seq": 3,
                    "whole": True,
                    "hosts": [host_entry("h", old.dial, health="terminating"), host_entry("g", new.dial)],
                }
            )
            assert await with_timeout(discoveries[1].calls.get()) == "/discovery/hosts"
            assert "index=3&" in await with_timeout(discoveries[1].calls.get())
            discoveries[1].answers.put_nowait(None)  # for the watch that the next SIGHUP ends
        assert discoveries[0].calls.empty()
        old_counter_calls = counters[0].commands.qsize()
        assert old_counter_calls and counters[1].commands.empty()
        other.send_request(b"2")
        assert await other.read_answer() == b"new"
        assert counters[0].commands.qsize() == old_counter_calls and not counters[1].commands.empty()
        release.set()
        assert await client.read_answer() == b"old"
        process.send_signal(signal.SIGTERM)
        assert await with_timeout(process.wait()) == 0
        for server in [peer.server for peer in (old, new, *counters)] + [
            discovery.server for discovery in discoveries
        ]:
            server.close()

    run(main())


def test_build_compiles_all_modules_so_that_start_does_not(tmp_path: Path) -> None:
    root = Path(__file__).parent.parent
    shutil.copytree(root / "rainturn", tmp_path / "rainturn", ignore=shutil.ignore_patterns("__pycache__"))
    python = tmp_path / ".venv" / "bin" / "python"
    python.parent.mkdir(parents=True)
    python.write_text(f'#!/bin/sh\nexec "{sys.executable}" "$@"\n')
    python.chmod(0o755)
    build = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True, timeout=60)
    compiled = {path.name.partition(".")[0] for path in tmp_path.rglob("*.pyc")}
    assert compiled == {path.stem for path in (tmp_path / "rainturn").rglob("*.py")}
