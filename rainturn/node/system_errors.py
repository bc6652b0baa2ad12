"""Temporary failures of system calls, as documented for Linux, and calls that are repeated after them."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import TypeVar

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)

# Errors of any call: this machine lacks descriptors, buffers, memory or local ports, or a signal interrupted
# the call. They say nothing about the remote side.
LOCAL_SHORTAGES = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
    }
)
# Errors of connect: a route may be missing for a moment, or for as long as the host is cut off.
ROUTE_MISSING = frozenset({errno.ENETUNREACH, errno.ENETDOWN})
# Errors of accept: the pending connection was lost or its network is down; others may still be pending.
CLIENT_GONE = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
RETRY_S = 0.02  # delay before a call that failed temporarily is repeated
LISTEN_RETRY_LIMIT_S = 5.0  # how long a starting process tries to listen on its address


class LocalShortageError(OSError):
    """A shortage on this machine, not a failure of the remote side, prevented a connection in time."""


async def open_listening_socket(address: tuple[str, int], backlog: int) -> socket.socket:
    """Open a socket that listens on one address only, and retry while this machine lacks a resource.

    Raises an OSError if a shortage lasts for `LISTEN_RETRY_LIMIT_S`, or at once for any other failure.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + LISTEN_RETRY_LIMIT_S
    while True:
        try:
            return socket.create_server(address, backlog=backlog)
        except OSError as error:
            if error.errno not in LOCAL_SHORTAGES or loop.time() >= end:
                raise
        await asyncio.sleep(RETRY_S)


async def connect(
    loop: asyncio.AbstractEventLoop,
    protocol: Callable[[], ProtocolT],
    address: tuple[str, int],
    limit_s: float,
) -> ProtocolT:
    """Connect within `limit_s`, and retry on a local shortage or a missing route.

    Raises a `LocalShortageError` if a shortage lasts until the limit, a `TimeoutError` if the limit passes
    otherwise, another OSError for any other failure, and a ValueError if the name cannot be that of a host.
    """
    shortage = False
    try:
        async with asyncio.timeout(limit_s):
            while True:
                try:
                    _, connection = await loop.create_connection(protocol, *address)
                    return connection
                except OSError as error:
                    shortage = error.errno in LOCAL_SHORTAGES
                    if not shortage and error.errno not in ROUTE_MISSING:
                        raise
                await asyncio.sleep(RETRY_S)
    except TimeoutError:
        if shortage:
            raise LocalShortageError("no connection could be made because of a local shortage") from None
        raise
