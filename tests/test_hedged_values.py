"""Long values of requests that two hosts are running."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import pytest

from rainturn.node.host_connection import HostConnection
from rainturn.node.host_pools import NO_ADDRESS
from rainturn.node.requests import ValueTransfer
from tests.sockets import DEFAULT_SETTINGS, Client, GatewaySetup, reset, run, success_answer, with_timeout
from tests.test_long_values import BEGINNING, VALUE, LongValueHost
from tests.test_node_hosts import add_attempt


class ManualHost(LongValueHost):
    """Passes each attempt at a long value to the test, which writes the answer."""

    def __init__(self, attempts: asyncio.Queue[asyncio.StreamWriter]) -> None:
        self.attempts = attempts

    async def answer(self, writer: asyncio.StreamWriter) -> None:
        self.attempts.put_nowait(writer)


class HedgedRequest(NamedTuple):
    """A read that two hosts are running; `first` and `second` are the connections of its attempts."""

    client: Client
    first: asyncio.StreamWriter
    second: asyncio.StreamWriter


def _hedge(
    scenario: Callable[[GatewaySetup, HedgedRequest], Awaitable[None]],
    has_request_behind: bool,
    time_limit_ms: int = 2000,
) -> None:
    """Run a scenario with a read at two hosts, and check that nothing of its attempts remains."""

    async def main() -> None:
        attempts: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        servers = [await ManualHost(attempts).start() for _ in range(2)]
        classes = [DEFAULT_SETTINGS["classes"][0] | {"target_ms": 200}, *DEFAULT_SETTINGS["classes"][1:]]
        handlers = [lambda words: success_answer()] * 2
        async with GatewaySetup(*handlers, settings={"classes": classes}) as setup:
            for number, server in enumerate(servers, 1):
                setup.parts.pools.pools[number].address = server.sockets[0].getsockname()
            client = await setup.client()
            client.send_request(b"long", time_limit_ms=time_limit_ms)
            if has_request_behind:
                client.send_request(b"behind")
            first, second = [await with_timeout(attempts.get()) for _ in range(2)]
            await scenario(setup, HedgedRequest(client, first, second))
            client.writer.close()
            await setup.wait_until_idle()
            assert not setup.parts.node.memory.held_bytes
        for server in servers:
            server.close()

    run(main())


async def _until_value_has_begun(setup: GatewaySetup) -> None:
    while not any(request.transfer for request in setup.parts.node.requests.values()):
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("has_request_behind", [False, True])
@pytest.mark.parametrize(
    "other_answer",
    [
        pytest.param(success_answer(VALUE), id="a long value"),
        pytest.param(BEGINNING, id="a part of a long value"),
        pytest.param(success_answer(b"short"), id="a short value"),
        pytest.param(b"-ERR failed\r\n", id="an error"),
        pytest.param(b"-BUSY\r\n", id="a refusal"),
        pytest.param(b"garbage\r\n", id="garbage"),
        pytest.param(b"", id="silence"),
        pytest.param(None, id="a reset"),
    ],
)
def test_long_value_is_not_touched_by_what_another_attempt_of_its_request_gives(
    other_answer: bytes | None, has_request_behind: bool
) -> None:
    """Guards against mixing two hosts' values, and against ending a value with another attempt."""

    async def scenario(setup: GatewaySetup, request: HedgedRequest) -> None:
        request.second.write(BEGINNING)
        await _until_value_has_begun(setup)
        if other_answer is None:
            reset(request.first)
        else:
            request.first.write(other_answer)
        await asyncio.sleep(0.05)
        request.second.write(success_answer(VALUE)[len(BEGINNING) :])
        answer = await request.client.read_answer()
        # A whole short value may overtake a long one of which the client has got nothing.
        assert answer == VALUE or (has_request_behind and other_answer and answer == b"short")
        request.client.send_request(b"next")
        for _ in range(1 + has_request_behind):
            assert await request.client.read_answer() == b"value"

    _hedge(scenario, has_request_behind)


def test_long_value_outlasts_the_deadline_that_ends_another_attempt_of_its_request() -> None:
    async def scenario(setup: GatewaySetup, request: HedgedRequest) -> None:
        request.second.write(BEGINNING)
        await _until_value_has_begun(setup)
        (open_request,) = setup.parts.node.requests.values()
        while open_request.open_attempts > 1:  # until the deadline
            await asyncio.sleep(0.01)
        request.second.write(success_answer(VALUE)[len(BEGINNING) :])
        assert await request.client.read_answer() == VALUE

    _hedge(scenario, has_request_behind=False, time_limit_ms=900)


def test_another_attempt_answers_once_a_long_value_has_broken_off_unseen() -> None:
    async def scenario(setup: GatewaySetup, request: HedgedRequest) -> None:
        request.second.write(BEGINNING)
        await _until_value_has_begun(setup)
        reset(request.second)
        while any(open_request.transfer for open_request in setup.parts.node.requests.values()):
            await asyncio.sleep(0.001)
        request.first.write(success_answer(VALUE))
        assert await request.client.read_answer() == VALUE
        assert await request.client.read_answer() == b"value"

    _hedge(scenario, has_request_behind=True)


def test_attempt_that_waits_for_a_connection_is_not_sent_once_a_value_has_begun() -> None:
    """Guards against a further run of a request whose answer is already on its way."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            attempt = add_attempt(setup)
            attempt.request.transfer = ValueTransfer(
                attempt, HostConnection(setup.parts.pools.pools[1], NO_ADDRESS)
            )
            setup.parts.pools.start(attempt)
            while attempt.request.open_attempts:
                await asyncio.sleep(0.001)
            assert not setup.hosts[0].commands.qsize()

    run(main())
