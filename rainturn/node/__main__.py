"""Entry point of the gateway process: start, signals, handover from a predecessor, shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path

import uvloop

from rainturn.node import client_listener, control
from rainturn.node.assembly import Parts, apply_limits, assemble, share_connection_budget
from rainturn.node.configuration import Config, read_config
from rainturn.node.handover import Handover, inherited_listener
from rainturn.node.handover_state import predecessor_clock, restore_predecessor_state, state_for_successor
from rainturn.node.log_output import LogOutput
from rainturn.node.reload import Reload
from rainturn.node.shutdown import shut_down
from rainturn.node.system_errors import open_listening_socket

log = logging.getLogger("rainturn.node")

READY_POLL_S = 0.02  # interval at which a successor checks whether it is ready to accept


def share_with_other_process(
    parts: Parts, handover: Handover | None, other_descriptors: int | None, is_older: bool
) -> None:
    """Share limits and known ids with another process of this gateway, or have them alone again."""
    assert handover is not None
    other_name = None if other_descriptors is None else handover.other_process()
    ids = parts.node.request_ids
    ids.share(handover.folder, handover.name, other_name, parts.node.clock.now())
    parts.node.memory.share(other_name is not None)
    share_connection_budget(parts, other_descriptors, is_older)


async def serve(config: Config, descriptors: int, log_output: LogOutput) -> None:
    """Serve until SIGTERM or SIGINT, then answer all open requests and return.

    On SIGHUP the configuration file is read again. `descriptors` is how many the process may hold.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context.get("message"), exc_info=context.get("exception"))
    )
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    listener, handover = inherited_listener(os.environ), None
    if listener is not None and (folder := os.environ.get("TMPDIR")):
        handover = Handover(
            Path(folder),
            lambda: state_for_successor(parts),
            lambda other_descriptors, is_older: share_with_other_process(
                parts, handover, other_descriptors, is_older
            ),
        )
    state = await handover.request_state() if handover is not None else None
    parts = assemble(config, descriptors, loop, predecessor_clock(state))
    parts.node.end_log.write, log_output.call_later = log_output.add_line, loop.call_later
    if state is not None:
        restore_predecessor_state(parts, state)
    if listener is None:
        own_listener = await open_listening_socket(config.listen, client_listener.BACKLOG)
        address = parts.clients.accept_from(own_listener)
    # The control listener starts only here: a successor must not report ready before it has restored the
    # predecessor's state.
    if config.control is not None:
        control_listener = await open_listening_socket(config.control, control.BACKLOG)
        log.info("control: listening on %s:%d", *parts.control.accept_from(control_listener))
    parts.discovery.start(at_once=listener is not None)  # a successor must be ready soon, with a current list
    loop.add_signal_handler(signal.SIGHUP, Reload(os.environ["EDGE_CONFIG"], parts, loop).begin)
    if handover is not None:
        handover.start()
        while handover.predecessor is not None and not parts.node.is_ready() and not stop.is_set():
            await asyncio.sleep(READY_POLL_S)  # until this process is ready, the predecessor serves alone
    if listener is not None:
        address = parts.clients.accept_from(listener)
    gc.collect()
    gc.freeze()
    log.info("%s: listening on %s:%d", config.name, *address)
    await stop.wait()
    log.info("%s: stopping with %d requests open", config.name, parts.node.unanswered)
    await shut_down(parts, listener is not None)
    if handover is not None:
        parts.node.request_ids.share(handover.folder, handover.name, None, parts.node.clock.now())
        handover.announce_end()
    parts.control.stop()
    await parts.discovery.stop()
    log_output.call_later = None  # the loop ends
    log.info("%s: stopped", config.name)
    # Guards against a signal changing the exit status while the loop removes its signal handlers.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


def main() -> int:
    """Run the gateway and return its exit code."""
    # Without standard error its descriptor may become that of a connection.
    log_output = LogOutput(sys.stderr.fileno() if sys.stderr else os.open(os.devnull, os.O_WRONLY))
    logging.basicConfig(
        handlers=[log_output],
        level=logging.INFO,
        format="%(asctime)s %(levelname)s %(message)s",
    )
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the reload handler is installed
    try:
        config = read_config(os.environ)
        descriptors = apply_limits(config)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, descriptors, log_output))
    except (ValueError, OSError) as error:
        print(f"rainturn: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
