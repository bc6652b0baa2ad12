"""The memory account, and the turns of connections."""

from __future__ import annotations

import asyncio
import time

from rainturn.node import turns
from rainturn.node.memory_account import MIN_HOLDING_BYTES, Holding, MemoryAccount, account_limit
from rainturn.node.turns import TurnQueue
from tests.sockets import run

MB = 1 << 20


def test_no_holding_grows_beyond_what_is_left_free_and_each_may_have_a_little() -> None:
    async def main() -> None:
        account = MemoryAccount(100_000, asyncio.get_running_loop())
        first, second, third = Holding(account), Holding(account), Holding(account)
        assert first.reserve(50_000) and not first.reserve(1) and second.room() == 50_000
        second.resize(50_000)
        assert third.room() == MIN_HOLDING_BYTES and not third.reserve(MIN_HOLDING_BYTES + 1)
        first.resize(0)
        second.resize(0)
        assert account.held_bytes == 0

    run(main())


def test_those_who_wait_for_room_are_called_once_after_a_release() -> None:
    async def main() -> None:
        account, calls = MemoryAccount(1000, asyncio.get_running_loop()), list[int]()
        holding = Holding(account)
        holding.resize(1000)
        account.call_when_released(lambda: calls.append(1))
        account.call_when_released(lambda: calls.append(2))
        holding.resize(900)
        holding.resize(800)
        assert not calls
        await asyncio.sleep(0)
        holding.resize(700)
        await asyncio.sleep(0)
        assert calls == [1, 2]

    run(main())


def test_the_limit_leaves_memory_for_the_program_and_its_connections() -> None:
    for memory_mb in (32, 80, 192):
        limit = account_limit(memory_mb, 1024, 26 * MB)
        assert MB <= limit <= (memory_mb - 26) * MB / 2
        assert limit <= memory_mb * MB * 3 // 8
    assert account_limit(16, 1024, 26 * MB) == MB


def test_turns_are_taken_in_order_and_end_with_their_time() -> None:
    async def main() -> None:
        queue, taken = TurnQueue(asyncio.get_running_loop()), list[int]()
        for number in range(3):
            queue.add(lambda number=number: taken.append(number))  # type: ignore[misc]
        await asyncio.sleep(0)
        assert taken == [0, 1, 2]

        def take_long(number: int) -> None:
            taken.append(number)
            queue.add(lambda: taken.append(-number))
            time.sleep(2 * turns.TURNS_S)

        queue.add(lambda: take_long(7))
        queue.add(lambda: taken.append(8))
        await asyncio.sleep(0)
        assert taken == [0, 1, 2, 7]
        await asyncio.sleep(0)
        assert taken == [0, 1, 2, 7, 8, -7]

    run(main())
