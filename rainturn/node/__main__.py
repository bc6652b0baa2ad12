"""Starts and stops a gateway: configuration, limits, signals."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import resource
import signal
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from rainturn import interface as it
from rainturn.node.clients import ClientListener
from rainturn.node.control import CONNECTIONS, Answer, Control, Route
from rainturn.node.counter import Counter
from rainturn.node.discovery import Discovery
from rainturn.node.gateway import Clock, Node
from rainturn.node.handover import Handover, inherited
from rainturn.node.host_list import parse_address
from rainturn.node.host_pools import HostPools
from rainturn.settings import Names, names_from, settings_from
from rainturn.state import restore_state, save_state

log = logging.getLogger("rainturn.node")

RESERVE = 48  # descriptors kept back: loop, log, listeners, discovery, counter, a connection on its way out
HOSTS_PART = 0.4  # part of the others that connections to hosts may take
ACCEPT_MORE_S = 0.5  # new connections go on coming for this long after SIGTERM
LAST_CALLS_S = 0.05  # for what the counter is told last to leave
READY_LOOK_S = 0.02  # how often a successor looks whether it is ready to accept
KILLED_AFTER_S = 0.7  # SIGKILL comes so long after the longest deadline, or after this long at the most:
LONGEST_S = 3.0
SPARE_S = 0.5  # so long before it what is open is answered


@dataclass(frozen=True)
class Config:
    """What a gateway is told when it starts."""

    name: str
    listen: tuple[str, int]
    control: tuple[str, int] | None
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    memory_mb: float
    sockets: int
    idle_ms: float
    max_open: int
    known: Any
    settings: it.Settings
    names: Names


def read_config(environment: Mapping[str, str]) -> Config:
    """Read the file that `EDGE_CONFIG` names, or raise a ValueError that says what is wrong."""
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ValueError("EDGE_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            source = json.load(file)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    except ValueError:
        raise ValueError(f"{path}: not JSON") from None
    return parse_config(source, environment, path)


def parse_config(source: Any, environment: Mapping[str, str], where: str) -> Config:
    """Check a configuration; the environment goes before what it says."""
    try:
        wire: Any = source["settings"]
        limits = source.get("limits") or {}
        settings = settings_from(wire)
        names = names_from(wire)
        wire_limits = wire.get("limits") or {}
        control = environment.get("EDGE_CONTROL") or source.get("control")
        return Config(
            name=environment.get("EDGE_NAME") or str(source.get("name", "")),
            listen=parse_address(environment.get("EDGE_LISTEN") or source["listen"]),
            control=parse_address(control) if control else None,
            discovery=parse_address(environment.get("EDGE_DISCOVERY") or source["discovery"]),
            counter=parse_address(source["counter"]) if settings.counter else None,
            seed=int(str(source["seed"]), 16),
            memory_mb=float(limits.get("memory_mb", 192)),
            sockets=int(limits.get("sockets", 1024)),
            idle_ms=float(wire_limits.get("conn_idle_ms", 30_000)),
            max_open=int(wire_limits.get("max_open", 20_000)),
            known=source.get("known"),
            settings=settings,
            names=names,
        )
    except KeyError as error:
        raise ValueError(f"{where}: {error.args[0]} is missing") from None
    except (TypeError, AttributeError, ValueError, OverflowError) as error:
        raise ValueError(f"{where}: {error}") from None


class NoCounter:
    """Stands where the settings know of no counter."""

    def call(self, name: int, amount: float, ttl: float) -> None:
        """Nobody may call."""
        raise RuntimeError("the settings permit no counter calls")

    def move(self, address: tuple[str, int]) -> None:
        """Nothing to move."""


def apply_limits(config: Config) -> int:
    """Bound the process's data, and return how many descriptors it may hold."""
    data = int(config.memory_mb * (1 << 20))
    _, hard = resource.getrlimit(resource.RLIMIT_DATA)
    if hard == resource.RLIM_INFINITY or data < hard:
        # A single absurd allocation then fails where it is made, in place of the process being killed.
        resource.setrlimit(resource.RLIMIT_DATA, (data, hard))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < config.sockets:
        soft = config.sockets if hard == resource.RLIM_INFINITY else min(hard, config.sockets)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return config.sockets if soft == resource.RLIM_INFINITY else min(soft, config.sockets)


class Parts(NamedTuple):
    """A gateway, put together."""

    node: Node
    pools: HostPools
    clients: ClientListener
    discovery: Discovery
    counter: Counter | NoCounter
    control: Control
    room: int  # for connections of clients and hosts together

    def give_room(self, room: int) -> None:
        """Split the room for connections between hosts and clients."""
        self.pools.budget = int(room * HOSTS_PART)
        self.clients.budget = room - self.pools.budget


def routes(node: Node, clients: ClientListener, names: Names) -> dict[bytes, dict[bytes, Route]]:
    """What operators may call."""

    def ready() -> Answer:
        if node.ready():
            return HTTPStatus.OK, "ready\n"
        return HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n"

    def figures() -> Answer:
        return HTTPStatus.OK, node.counters.report(
            names.classes,
            {
                "in_progress": node.in_progress(),
                "known_hosts": node.module.listed(),
                "skipped_hosts": node.module.skipped(),
            },
        )

    def in_service(on: bool) -> Answer:
        log.info("control: %s", "in service" if on else "out of service")
        node.feed(it.InService(on))
        clients.in_service(on)
        return HTTPStatus.OK, "in service\n" if on else "out of service\n"

    return {
        b"/control/ready": {b"GET": ready},
        b"/control/counters": {b"GET": figures},
        b"/control/out-of-service": {b"PUT": lambda: in_service(False)},
        b"/control/in-service": {b"PUT": lambda: in_service(True)},
    }


def assemble(config: Config, descriptors: int, loop: asyncio.AbstractEventLoop) -> Parts:
    """Put a gateway together, with the hosts that it last knew."""
    node = Node(config.settings, config.seed, Clock(), loop)
    budget = max(8, descriptors - RESERVE - (CONNECTIONS if config.control else 0))
    pools = node.hosts = HostPools(node, config.idle_ms, int(budget * HOSTS_PART))
    counter = node.counter = Counter(node, config.counter) if config.counter else NoCounter()
    clients = ClientListener(node, config.names, budget - pools.budget, config.max_open, config.memory_mb)
    discovery = Discovery(node, pools, config.names.zones, config.discovery, config.seed)
    if config.known is not None:
        try:
            discovery.apply(config.known, cached=True)
        except ValueError as error:
            log.warning("known hosts passed over: %s", error)
    return Parts(
        node, pools, clients, discovery, counter, Control(loop, routes(node, clients, config.names)), budget
    )


def reload(path: str, parts: Parts) -> None:
    """Read the configuration again and follow discovery and the counter to where it says they are now.

    Only the file counts here: the environment is as old as the process and would hide a new address. Guards
    against a broken file, as one that is half written, by keeping what is in force.
    """
    try:
        config = read_config({"EDGE_CONFIG": path})
    except ValueError as error:
        return log.error("configuration kept as it was: %s", error)
    log.info(
        "configuration read: discovery at %s:%d, counter at %s:%d",
        *config.discovery,
        *(config.counter or ("none", 0)),
    )
    parts.discovery.move(config.discovery)
    if config.counter is not None:
        parts.counter.move(config.counter)


def carried(parts: Parts) -> dict[str, Any]:
    """What the module passes on, its hosts by their names: their numbers differ from process to process."""
    state = dict[str, Any](save_state(parts.node.module))
    pools = parts.pools.pools
    state["hosts"] = {
        pools[int(number)].name: values for number, values in state["hosts"].items() if int(number) in pools
    }
    return state


def carry_on(parts: Parts, state: dict[str, Any]) -> None:
    """Hand a predecessor's state to the module; one that can't be read changes nothing."""
    try:
        numbers = parts.discovery.table.numbers
        hosts = {str(numbers[name]): values for name, values in state["hosts"].items() if name in numbers}
        restore_state(parts.node.module, parts.node.clock.now(), state | {"hosts": hosts})
        log.info("handover: carried on")
    except (AttributeError, IndexError, KeyError, OverflowError, TypeError, ValueError) as error:
        log.warning("handover: state passed over: %r", error)


def share_room(parts: Parts, held: int | None, older: bool) -> None:
    """While two processes are one gateway their connections together stay within its limit."""
    if held is None:
        parts.give_room(parts.room)
    elif older:  # it grows no more than to a half
        open_now = len(parts.clients.connections) + parts.pools.open + parts.pools.connecting
        parts.give_room(max(parts.room // 2, open_now))
    else:
        parts.give_room(max(8, parts.room - max(parts.room // 2, held)))
    parts.node.feed(it.ProcessOverlap(held is not None))


async def serve(config: Config, descriptors: int) -> None:
    """Run until SIGTERM or SIGINT, then answer what is open and return; SIGHUP reads the file again."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context.get("message"), exc_info=context.get("exception"))
    )
    parts = assemble(config, descriptors, loop)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    listener, handover = inherited(os.environ), None
    if listener is None:
        address = parts.clients.listen(config.listen)
    if listener is not None and (folder := os.environ.get("TMPDIR")):
        handover = Handover(
            Path(folder), lambda: carried(parts), lambda held, older: share_room(parts, held, older)
        )
        if (state := await handover.begin()) is not None:
            carry_on(parts, state)
    if config.control is not None:  # not earlier: a successor must not say yes to what it has yet to learn
        log.info("control: listening on %s:%d", *parts.control.listen(config.control))
    parts.discovery.start(at_once=listener is not None)  # a successor is to be ready soon, and not stale
    loop.add_signal_handler(signal.SIGHUP, reload, os.environ["EDGE_CONFIG"], parts)
    if handover is not None:
        handover.start()
        while handover.predecessor is not None and not parts.node.ready() and not stop.is_set():
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


def answer_by(settings: it.Settings) -> float:
    """How long after SIGTERM what is open is answered, in s: before SIGKILL, whatever the deadlines are."""
    longest = max((c.deadline_ms for c in settings.classes), default=0.0) / 1000
    return min(LONGEST_S, longest) + KILLED_AFTER_S - SPARE_S


async def finish(parts: Parts, handed_on: bool) -> None:
    """Take requests a little longer, unless the listener is another's to serve; then answer what is open."""
    loop, node = asyncio.get_running_loop(), parts.node
    end = loop.time() + answer_by(node.settings)
    node.feed(it.ShuttingDown())
    if not handed_on:
        await asyncio.sleep(min(ACCEPT_MORE_S, end - loop.time()))
    parts.clients.stop(not handed_on)
    parts.pools.close_idle()
    await parts.clients.wait_closed(end - loop.time())
    parts.clients.refuse_all()  # what waited behind the requests below is taken as they end
    for request in [r for r in node.requests.values() if not r.done]:
        node.end_now(request)
    await parts.clients.close()
    await asyncio.sleep(LAST_CALLS_S)


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
