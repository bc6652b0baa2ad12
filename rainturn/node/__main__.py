"""Starts and stops a gateway: its parts, its signals, a process before it."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path

import uvloop

from rainturn.node import clients, control
from rainturn.node.assembly import apply_limits, assemble, share_room
from rainturn.node.configuration import Config, read_config
from rainturn.node.handover import Handover, inherited
from rainturn.node.reload import Reload
from rainturn.node.shutdown import finish
from rainturn.node.succession import carried, carried_clock, carry_on
from rainturn.node.system_errors import open_listening_socket

log = logging.getLogger("rainturn.node")

READY_LOOK_S = 0.02  # how often a successor looks whether it is ready to accept


async def serve(config: Config, descriptors: int) -> None:
    """Run until SIGTERM or SIGINT, then answer what is open and return; SIGHUP reads the file again."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context.get("message"), exc_info=context.get("exception"))
    )
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    listener, handover = inherited(os.environ), None
    if listener is not None and (folder := os.environ.get("TMPDIR")):
        handover = Handover(
            Path(folder), lambda: carried(parts), lambda held, older: share_room(parts, held, older)
        )
    state = await handover.begin() if handover is not None else None
    parts = assemble(config, descriptors, loop, carried_clock(state))
    if state is not None:
        carry_on(parts, state)
    if listener is None:
        own_listener = await open_listening_socket(config.listen, clients.BACKLOG)
        address = parts.clients.accept_from(own_listener)
    if config.control is not None:  # not earlier: a successor must not say yes to what it has yet to learn
        control_listener = await open_listening_socket(config.control, control.BACKLOG)
        log.info("control: listening on %s:%d", *parts.control.accept_from(control_listener))
    parts.discovery.start(at_once=listener is not None)  # a successor is to be ready soon, and not stale
    loop.add_signal_handler(signal.SIGHUP, Reload(os.environ["EDGE_CONFIG"], parts, loop).begin)
    if handover is not None:
        handover.start()
        while handover.predecessor is not None and not parts.node.is_ready() and not stop.is_set():
            await asyncio.sleep(READY_LOOK_S)  # until then the predecessor serves alone
    if listener is not None:
        address = parts.clients.accept_from(listener)
    gc.collect()
    gc.freeze()
    log.info("%s: listening on %s:%d", config.name, *address)
    await stop.wait()
    log.info("%s: stopping with %d requests open", config.name, parts.node.unanswered)
    await finish(parts, listener is not None)
    if handover is not None:
        handover.over()
    parts.control.stop()
    await parts.discovery.stop()
    log.info("%s: stopped", config.name)
    # Guards against a signal, as the loop lets go of its handlers, changing how the process ends.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


def main() -> int:
    """Run the program and return its exit code."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload into
    try:
        config = read_config(os.environ)
        descriptors = apply_limits(config)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, descriptors))
    except (ValueError, OSError) as error:
        print(f"rainturn: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
