"""Which failures of system calls are this machine's own and pass by themselves, as Linux documents them."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import TypeVar

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)

# For want of descriptors, buffers, memory or local ports, or by a signal: nothing is said of the other side.
SHORTAGES = frozenset(
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
# Of connect: a route may be missing for a moment, or for as long as the host is cut off.
ROUTE_MISSING = frozenset({errno.ENETUNREACH, errno.ENETDOWN})
# Of accept: the connection that would have been accepted has gone, or its network has; others may wait.
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
RETRY_S = 0.02  # pause after a call that failed for a shortage
LISTEN_FOR_S = 5.0  # how long a start waits for its address


class OwnShortage(OSError):
    """No connection came up in its time, for a shortage of this machine and not for the other side."""


async def listening_socket(address: tuple[str, int], backlog: int) -> socket.socket:
    """A socket that listens on one address only; a shortage of our own is waited out for a while."""
    loop = asyncio.get_running_loop()
    end = loop.time() + LISTEN_FOR_S
    while True:
        try:
            return socket.create_server(address, backlog=backlog)
        except OSError as error:
            if error.errno not in SHORTAGES or loop.time() >= end:
                raise
        await asyncio.sleep(RETRY_S)


async def connect(
    loop: asyncio.AbstractEventLoop,
    protocol: Callable[[], ProtocolT],
    address: tuple[str, int],
    limit_s: float,
) -> ProtocolT:
    """Connect within the limit; for a shortage of our own, or a missing route, try again until then.

    Raises an `OwnShortage` where that lasted until the end, and otherwise an OSError (a time-out is one) or,
    for a name that can be no host, a ValueError.
    """
    short = False
    try:
        async with asyncio.timeout(limit_s):
            while True:
                try:
                    _, connection = await loop.create_connection(protocol, *address)
                    return connection
                except OSError as error:
                    short = error.errno in SHORTAGES
                    if not short and error.errno not in ROUTE_MISSING:
                        raise
                await asyncio.sleep(RETRY_S)
    except TimeoutError:
        if short:
            raise OwnShortage("no connection could be made") from None
        raise
