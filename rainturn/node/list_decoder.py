"""Decodes the JSON of discovery's answers: short ones at once, long ones beside the event loop."""

from __future__ import annotations

import asyncio
import json
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from rainturn.node.host_list import fields_or_object

# Some 750 hosts, or 400 where the list is indented: decoded in some 2 ms, without the cost of a thread.
MAX_INLINE_BYTES = 128 << 10
# How long the event loop waits for the interpreter while a thread decodes; Python's own 5 ms are too long.
SWITCH_INTERVAL_S = 0.0002

_lock = threading.Lock()
_default_interval_s = sys.getswitchinterval()
_decoding_threads = 0  # threads that decode


def decode(body: bytes | bytearray) -> Any:
    """Parse the body of an answer; complete entries become `Fields` at once, as these take less memory."""
    return json.loads(body, object_hook=fields_or_object)


async def decode_async(body: bytes | bytearray) -> Any:
    """Parse the body of an answer without holding the event loop for long.

    The parser holds the interpreter lock but for the call of the hook after each object: there the thread
    gives way to the loop. The thread ends with its work.
    """
    if len(body) <= MAX_INLINE_BYTES:
        return decode(body)
    executor = ThreadPoolExecutor(1, "decoder")
    _begin_decoding()  # before the loop waits for the lock: it would wait as long as the interval is then
    future = executor.submit(decode, body)
    future.add_done_callback(lambda _: _end_decoding())
    executor.shutdown(wait=False)
    return await asyncio.wrap_future(future)


def _begin_decoding() -> None:
    """Let other threads have the interpreter soon, until the last of the threads that decode has ended."""
    global _decoding_threads
    with _lock:
        _decoding_threads += 1
        sys.setswitchinterval(SWITCH_INTERVAL_S)


def _end_decoding() -> None:
    global _decoding_threads
    with _lock:
        _decoding_threads -= 1
        if not _decoding_threads:
            sys.setswitchinterval(_default_interval_s)
