"""Parses a client's `API.READ` or `API.WRITE` command into a request, or raises `MalformedCommand`."""

from __future__ import annotations

import math
import re

from rainturn import interface as it
from rainturn.node.body import Body
from rainturn.node.gateway import Node
from rainturn.node.requests import Request, Responder
from rainturn.settings import Names

REPLY_MARGIN_MS = 25.0  # subtracted from a client's time limit, for the way back and a late event loop
REQUEST_VERBS = (b"API.READ", b"API.WRITE")
REQUIRED_FIELDS = (b"c", b"t", b"d", b"units", b"spread", b"first")
NUMBER_FIELDS = REQUIRED_FIELDS[2:]
MAX_FIELDS = 64  # of one request; more would take long to parse
MAX_INTEGER_DIGITS = 12  # of a number before its decimal point
CUSTOMER_NUMBER_LIMIT = 1 << 33  # customer numbers are below this
REQUEST_BYTES = 8 << 10  # memory of the objects of a request, its attempt and the connection to its host

_is_customer = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
_is_decimal = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,6})?").fullmatch
_is_request_id = re.compile(rb"[!-~]{1,64}").fullmatch


class MalformedCommand(Exception):
    """A command that cannot be served. The client gets the text as its error."""


def _parse_customer(text: bytes) -> int:
    if not _is_customer(text) or (customer := int(text, 16)) >= CUSTOMER_NUMBER_LIMIT:
        raise MalformedCommand("customer is not 16 hex digits of a number below 2^33")
    return customer


def _parse_fields(text: bytes) -> dict[bytes, bytes]:
    """Parse `name=value,name=value...` into a dictionary, and check that all required fields are present."""
    if text.count(b",") >= MAX_FIELDS:
        raise MalformedCommand("too many fields")
    pairs = text.split(b",")
    fields: dict[bytes, bytes] = {}
    for pair in pairs:
        name, _, value = pair.partition(b"=")
        fields[name] = value
    if len(fields) != len(pairs):
        raise MalformedCommand("a name stands twice")
    if not all(map(fields.get, REQUIRED_FIELDS)):
        missing = next(name for name in REQUIRED_FIELDS if not fields.get(name))
        raise MalformedCommand(f"{missing.decode()} is missing")
    return fields


class CommandParser:
    """Turns the arguments of a command into a request."""

    def __init__(self, node: Node, names: Names) -> None:
        self.node = node
        self.classes = {name.encode(): number for number, name in enumerate(names.classes)}
        self.plans = {name.encode(): number for number, name in enumerate(names.plans)}

    def parse_request(
        self, arguments: list[bytes], client: Responder, arrived_at: float, body: Body | None = None
    ) -> Request:
        """Parse `API.READ|API.WRITE customer id fields [body]`, or raise `MalformedCommand`.

        The time limit of the request counts from `arrived_at`, the Unix time in ms at which its last byte
        arrived. A streamed body is given as `body` and is not among the arguments.
        """
        verb = arguments[0].upper()
        if verb not in REQUEST_VERBS:
            raise MalformedCommand("unknown command")
        if not 4 <= len(arguments) + (body is not None) <= 5:
            raise MalformedCommand("wrong number of arguments")
        customer = _parse_customer(arguments[1])
        self._check_id(arguments[2])
        fields = _parse_fields(arguments[3])
        request_class = self._parse_request_class(verb, fields)
        units, spread = self._parse_amounts(fields)
        time_limit_ms = (
            min(float(fields[b"d"]), self.node.settings.classes[request_class].deadline_ms) - REPLY_MARGIN_MS
        )
        deadline = arrived_at + time_limit_ms
        self.node.last_request_number += 1
        arrival = it.Arrived(
            self.node.last_request_number,
            deadline,
            customer,
            self.plans[fields[b"t"]],
            request_class,
            units,
            spread,
            fields.get(b"r") == b"1",
            body is None,
        )
        if body is not None:
            deadline = math.inf
        start = 0 if arguments[3].startswith(b"d=") else arguments[3].index(b",d=") + 1
        end = arguments[3].find(b",", start)
        before, after = arguments[3][:start], arguments[3][end:] if end > 0 else b""
        arguments[3] = b""  # it is sent with another value of `d`
        held_bytes = REQUEST_BYTES + len(before) + len(after) + sum(map(len, arguments))
        return Request(arrival, deadline, arguments, before, after, client, held_bytes, time_limit_ms, body)

    def _check_id(self, request_id: bytes) -> None:
        if not _is_request_id(request_id):
            raise MalformedCommand("id is empty or odd")
        if self.node.request_ids.is_known(request_id, self.node.clock.now()):
            # Guards against two requests that a host would take for one.
            raise MalformedCommand("a request with this id is open, or was when its client left")

    def _parse_request_class(self, verb: bytes, fields: dict[bytes, bytes]) -> int:
        """Return the number of the request's class after checking class, plan, verb and key."""
        if fields[b"c"] not in self.classes:
            raise MalformedCommand("unknown class")
        if fields[b"t"] not in self.plans:
            raise MalformedCommand("unknown plan")
        request_class = self.classes[fields[b"c"]]
        effect = self.node.settings.classes[request_class].effect
        if (verb == b"API.READ") != (effect is it.Effect.SAFE):
            raise MalformedCommand("the class goes with the other command")
        if effect is it.Effect.KEYED and not fields.get(b"k"):
            raise MalformedCommand("k is missing")
        return request_class

    def _parse_amounts(self, fields: dict[bytes, bytes]) -> tuple[float, float]:
        """Return the request's units and its spread: how many gateways its customer's requests come through.

        Guards against one command with absurd numbers spoiling a customer's quota at all gateways.
        """
        for name in NUMBER_FIELDS:
            text = fields[name]
            # Nearly all values are plain digits, which are accepted without the slower pattern.
            if not (text.isdigit() and len(text) <= MAX_INTEGER_DIGITS) and not _is_decimal(text):
                raise MalformedCommand(f"{name.decode()} is not a number")
        settings = self.node.settings
        units, spread, first = float(fields[b"units"]), float(fields[b"spread"]), float(fields[b"first"])
        if not 0 < units <= (settings.most_units or units):
            raise MalformedCommand("units are out of range")
        if not (
            spread.is_integer()
            and 1 <= spread <= settings.gateways
            and first.is_integer()
            and first < settings.gateways
        ):
            raise MalformedCommand("no such set of gateways")
        return units, spread
