"""The log says why each request, attempt and connection ended, and writing it never stops the gateway."""

from __future__ import annotations

import logging
import os
import re
from collections.abc import Callable

import pytest

from rainturn.node.log_output import LogOutput
from tests.sockets import GatewaySetup, reset, run, success_answer, wait_until

END = re.compile(
    r"end (request|attempt|connection) .*reason=([a-z_]+) "
    r"received=\d+ sent=\d+ age_ms=\d+ left_ms=(-?\d+|none)"
)


def _ends(log: pytest.LogCaptureFixture) -> list[tuple[str, str]]:
    """Return the kind and the reason of each logged end, and check the form of the lines."""
    texts = [record.getMessage() for record in log.records]
    matches = [END.fullmatch(text) for text in texts if text.startswith("end ")]
    assert all(matches), texts
    return sorted((match[1], match[2]) for match in matches if match)


def test_every_end_is_logged_once_with_its_reason(caplog: pytest.LogCaptureFixture) -> None:
    async def answer(words: list[bytes]) -> bytes | None:
        if words[2] == b"silent":
            return None
        return b"-ERR failed\r\n" if words[2] == b"bad" else success_answer()

    async def main() -> None:
        async with GatewaySetup(answer) as setup:
            client, leaver = await setup.client(), await setup.client()
            for ident in (b"good", b"bad"):
                client.send_request(ident, b"pay", body=b"x")
                await client.read_answer()
            client.send_request(b"silent", b"pay", 200, body=b"x")
            assert await client.read_answer() == "-ERR failed"
            client.send(b"nonsense")
            client.send_request(b"late", time_limit_ms=1)
            for _ in range(2):
                await client.read_answer()
            leaver.send_request(b"silent", b"pay", 5000, b"", b"x")
            await wait_until(lambda: setup.hosts[0].commands.qsize() == 4)
            reset(leaver.writer)
            client.writer.close()
            await wait_until(lambda: not setup.parts.clients.connections)
            ends.extend(_ends(caplog))  # the attempt of the client that left is still out

    ends: list[tuple[str, str]] = []
    with caplog.at_level(logging.INFO, "rainturn.node.end_log"):
        run(main())
    assert ends == [
        ("attempt", "answered"),
        ("attempt", "deadline"),
        ("attempt", "host_error"),
        ("connection", "attempt_ended"),
        ("connection", "lost"),
        ("connection", "peer_closed"),
        ("connection", "suspect"),
        ("connection", "suspect"),
        ("request", "client_left"),
        ("request", "deadline"),
        ("request", "not_repeatable"),
        ("request", "passed"),
        ("request", "too_little_time"),
    ]
    assert any("id=good " in m and "reason=passed" in m and "sent=11 " in m for m in caplog.messages)


def test_log_whose_reader_stands_still_is_cut_short_and_does_not_wait() -> None:
    """Guards against a full pipe that stops the event loop."""
    reader, writer = os.pipe()
    handler = LogOutput(writer)
    record = logging.LogRecord("name", logging.INFO, "", 0, "%s", ("x" * 1000,), None)
    for _ in range(200):
        handler.emit(record)  # more than a pipe takes
    assert handler.dropped_lines
    while len(os.read(reader, 1 << 20)) == 1 << 20:
        pass
    handler.emit(record)
    assert (
        os.read(reader, 1 << 16).splitlines()[0].endswith(b"log lines dropped") and not handler.dropped_lines
    )
    os.close(reader)
    os.close(writer)


def test_long_line_is_written_whole() -> None:
    reader, writer = os.pipe()
    LogOutput(writer).emit(logging.LogRecord("n", logging.INFO, "", 0, "y" * 9000, (), None))
    assert os.read(reader, 1 << 16) == b"y" * 9000 + b"\n"
    os.close(reader)
    os.close(writer)


def test_frequent_lines_are_written_together_and_before_a_later_record() -> None:
    reader, writer = os.pipe()
    output, soon = LogOutput(writer), list[Callable[[], None]]()
    output.call_later = lambda delay_s, function: soon.append(function)
    output.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    for n in range(2):
        output.add_line(f"line {n}")
    assert len(soon) == 1
    output.emit(logging.LogRecord("n", logging.INFO, "", 0, "record", (), None))
    soon[0]()  # nothing is left
    lines = os.read(reader, 1 << 16).decode().splitlines()
    assert [line[24:] for line in lines] == ["INFO line 0", "INFO line 1", "INFO record"]
    assert all(re.match(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} ", line) for line in lines)
    os.close(reader)
    os.close(writer)
