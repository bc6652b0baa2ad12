"""Reads a client's command: the words of `API.READ` and `API.WRITE` into a request, or a typed error."""

from __future__ import annotations

import math
import re

from rainturn import interface as it
from rainturn.node.body import Body
from rainturn.node.gateway import MARGIN_MS, Answerer, Node, Request
from rainturn.settings import Names

VERBS = (b"API.READ", b"API.WRITE")
LONG_SIZE = 128 * 1024  # what a request with a long body is taken to hold: a piece, and as much again unsent
HEX = re.compile(rb"[0-9a-fA-F]{16}")
NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,6})?")
IDENT = re.compile(rb"[!-~]{1,64}")
NEEDED = (b"c", b"t", b"d", b"units", b"spread", b"first")


class MalformedCommand(Exception):
    """A command that cannot be served; the text is told to the client."""


class CommandParser:
    """Turns a command into a request."""

    def __init__(self, node: Node, names: Names) -> None:
        self.node = node
        self.classes = {name.encode(): n for n, name in enumerate(names.classes)}
        self.plans = {name.encode(): n for n, name in enumerate(names.plans)}

    def request(self, words: list[bytes], client: Answerer, body: Body | None = None) -> Request:
        """Read `API.READ|API.WRITE customer id names-and-values [body]`; a long body comes by itself."""
        if words[0].upper() not in VERBS:
            raise MalformedCommand("unknown command")
        if not 4 <= len(words) + (body is not None) <= 5:
            raise MalformedCommand("wrong number of arguments")
        size = sum(map(len, words)) + (LONG_SIZE if body is not None else 0)
        if not HEX.fullmatch(words[1]) or (customer := int(words[1], 16)) >= 1 << 33:
            raise MalformedCommand("customer is not 16 hex digits of a number below 2^33")
        if not IDENT.fullmatch(words[2]):
            raise MalformedCommand("id is empty or odd")
        if words[2] in self.node.ids:
            # Guards against two requests that a host would take for one.
            raise MalformedCommand("a request with this id is open")
        parts = words[3].split(b",")
        values: dict[bytes, bytes] = {}
        for part in parts:
            key, _, values[key] = part.partition(b"=")
        if len(values) != len(parts):
            raise MalformedCommand("a name stands twice")
        for key in NEEDED:
            if not values.get(key):
                raise MalformedCommand(f"{key.decode()} is missing")
        if values[b"c"] not in self.classes:
            raise MalformedCommand("unknown class")
        if values[b"t"] not in self.plans:
            raise MalformedCommand("unknown plan")
        kind = self.classes[values[b"c"]]
        klass = self.node.settings.classes[kind]
        if (words[0].upper() == b"API.READ") != (klass.effect is it.Effect.SAFE):
            raise MalformedCommand("the class goes with the other command")
        if klass.effect is it.Effect.KEYED and not values.get(b"k"):
            raise MalformedCommand("k is missing")
        for key in NEEDED[2:]:
            if not NUMBER.fullmatch(values[key]):
                raise MalformedCommand(f"{key.decode()} is not a number")
        # Guards against a customer's quota being spoilt for all by one odd command.
        settings, units = self.node.settings, float(values[b"units"])
        if not 0 < units <= (settings.most_units or units):
            raise MalformedCommand("units are out of range")
        spread, first = float(values[b"spread"]), float(values[b"first"])
        if not (
            spread.is_integer()
            and 1 <= spread <= settings.gateways
            and first.is_integer()
            and first < settings.gateways
        ):
            raise MalformedCommand("no such set of gateways")
        wait = min(float(values[b"d"]), klass.deadline_ms) - MARGIN_MS
        until = self.node.clock.now() + wait
        self.node.serial += 1
        arrival = it.Arrived(
            self.node.serial,
            until,
            customer,
            self.plans[values[b"t"]],
            kind,
            units,
            spread,
            values.get(b"r") == b"1",
            body is None,
        )
        at = 0 if words[3].startswith(b"d=") else words[3].index(b",d=") + 1
        end = words[3].find(b",", at)
        around = words[3][:at], words[3][end:] if end > 0 else b""
        return Request(arrival, until if body is None else math.inf, words, around, client, size, wait, body)
