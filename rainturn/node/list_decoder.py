"""Decodes the JSON of discovery's answers: short ones in the event loop, long ones in a thread."""

from __future__ import annotations

import asyncio
import json
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from rainturn.node.host_list import fields_or_object

# About 750 hosts, or 400 in an indented list. Decoding them takes about 2 ms and isn't worth a thread.
MAX_INLINE_BYTES = 128 << 10
# How long the event loop waits for the interpreter lock while a thread decodes. Python's default of 5 ms
# would delay requests too much.
SWITCH_INTERVAL_S = 0.0002

_lock = threading.Lock()
_default_interval_s = sys.getswitchinterval()
_decoding_threads = 0  # number of threads that are decoding


def decode(body: bytes | bytearray) -> Any:
    """Decode the body of an answer; complete entries become `EntryFields`, which take less memory than dicts.

    Raises a ValueError if the body isn't valid JSON.
    """
    return json.loads(body, object_hook=fields_or_object)


async def decode_async(body: bytes | bytearray) -> Any:
    """Decode the body of an answer without blocking the event loop for long.

    The JSON parser releases the interpreter lock to the event loop only in the Python hook that it calls
    after each object. The thread ends when the body is decoded.
    """
    if len(body) <= MAX_INLINE_BYTES:
        return decode(body)
    executor = ThreadPoolExecutor(1, "decoder")
    _begin_decoding()  # first, because a wait for the lock uses the interval that is set when it starts
    future = executor.submit(decode, body)
    future.add_done_callback(lambda _: _end_decoding())
    executor.shutdown(wait=False)
    return await asyncio.wrap_future(future)


def _begin_decoding() -> None:
    """Shorten the thread switch interval until the last decoding thread has ended."""
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
