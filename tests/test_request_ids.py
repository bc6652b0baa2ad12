"""A request whose client has left runs once: its id stays known, and over an upgrade."""

from __future__ import annotations

import asyncio
from pathlib import Path

from rainturn.node import request_ids
from rainturn.node.request_ids import RequestIds
from tests.sockets import BlockingHandler, GatewaySetup, run, success_answer, with_timeout


def test_id_of_a_request_whose_client_has_left_is_rejected_after_its_attempt_has_ended() -> None:
    """Guards against a second run: the id was forgotten as soon as the host had answered."""

    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler()) as setup:
            departing = await setup.client()
            departing.send_request(b"once", b"pay")
            await with_timeout(setup.hosts[0].commands.get())
            departing.writer.close()
            while setup.parts.clients.connections:
                await asyncio.sleep(0.005)
            held.released.set()
            await setup.wait_until_idle()
            client = await setup.client()
            client.send_request(b"once", b"pay")
            assert "is open" in str(await client.read_answer())
            assert setup.hosts[0].commands.empty()
            client.writer.close()
            await setup.wait_until_idle()

    run(main())


def test_id_of_a_request_that_was_not_sent_may_come_again() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            start, setup.parts.pools.start = setup.parts.pools.start, lambda attempt: None  # type: ignore[method-assign]
            departing = await setup.client()
            departing.send_request(b"again", b"pay")
            while not setup.parts.node.requests:
                await asyncio.sleep(0.005)
            (request,) = setup.parts.node.requests.values()
            departing.writer.close()
            while not request.is_finished:
                await asyncio.sleep(0.005)
            setup.parts.pools.start = start  # type: ignore[method-assign]
            (attempt,) = request.attempts
            assert attempt is not None
            start(attempt)
            await setup.wait_until_idle()
            client = await setup.client()
            client.send_request(b"again", b"pay")
            assert await client.read_answer() == b"value"

    run(main())


def test_remembered_ids_are_bounded_in_time_and_number() -> None:
    ids = RequestIds(remember_ms=1000.0)
    ids.remember(b"old", 0.0)
    assert ids.is_known(b"old", 999.0) and not ids.is_known(b"old", 1000.0)
    for number in range(request_ids.MAX_REMEMBERED + 10):
        ids.remember(b"%d" % number, 2000.0)
    assert len(ids.remembered) == request_ids.MAX_REMEMBERED
    assert not ids.is_known(b"9", 2000.0) and ids.is_known(b"10", 2000.0)


def test_two_processes_know_the_ids_that_the_other_has_sent(tmp_path: Path) -> None:
    """Guards against an id that runs at both processes of an upgrade."""
    old, new = RequestIds(1000.0), RequestIds(1000.0)
    old.add(b"before")
    old.remember(b"departed", 0.0)
    old.share(tmp_path, "old", "new", 0.0)
    new.share(tmp_path, "new", "old", 0.0)
    old.note_sent(b"during")
    assert all(new.is_known(known, 1.0) for known in (b"before", b"departed", b"during"))
    new.note_sent(b"at-new")
    assert old.is_known(b"at-new", 1.0) and not old.is_known(b"unknown", 1.0)
    new.share(tmp_path, "new", None, 2.0)
    assert new.is_known(b"during", 3.0) and not list(tmp_path.iterdir())


def test_a_folder_that_cannot_be_written_changes_nothing(tmp_path: Path) -> None:
    ids = RequestIds(1000.0)
    ids.share(tmp_path / "missing", "old", "new", 0.0)
    ids.note_sent(b"1")
    assert not ids.is_known(b"2", 0.0)
    ids.share(tmp_path / "missing", "old", None, 0.0)
