"""Reads a client's command: the words of `API.READ` and `API.WRITE` into a request, or a typed error."""

from __future__ import annotations

import math
import re

from rainturn import interface as it
from rainturn.node.body import Body
from rainturn.node.gateway import Node
from rainturn.node.requests import Request, Responder
from rainturn.settings import Names

MARGIN_MS = 25.0  # share of a client's time left for the way back and a late event loop
REQUEST_VERBS = (b"API.READ", b"API.WRITE")
REQUIRED_FIELDS = (b"c", b"t", b"d", b"units", b"spread", b"first")
NUMBER_FIELDS = REQUIRED_FIELDS[2:]
MAX_DIGITS = 12  # of a number before its point
CUSTOMERS = 1 << 33  # a customer's number is below this
STREAMED_BODY_BYTES = 128 * 1024  # memory counted for a body that is passed on: a piece, and as much unsent

_is_customer = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
_is_decimal = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,6})?").fullmatch
_is_request_id = re.compile(rb"[!-~]{1,64}").fullmatch


class MalformedCommand(Exception):
    """A command that cannot be served; the client gets the text as its error."""


def _customer_number(word: bytes) -> int:
    if not _is_customer(word) or (customer := int(word, 16)) >= CUSTOMERS:
        raise MalformedCommand("customer is not 16 hex digits of a number below 2^33")
    return customer


def _read_fields(text: bytes) -> dict[bytes, bytes]:
    """The values of `name=value,name=value...` by name; those that every request needs are there."""
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
    """Turns the words of a command into a request."""

    def __init__(self, node: Node, names: Names) -> None:
        self.node = node
        self.classes = {name.encode(): number for number, name in enumerate(names.classes)}
        self.plans = {name.encode(): number for number, name in enumerate(names.plans)}

    def request(
        self, words: list[bytes], client: Responder, arrived_at: float, body: Body | None = None
    ) -> Request:
        """Read `API.READ|API.WRITE customer id fields [body]`, or raise `MalformedCommand`.

        Its time counts from `arrived_at`, when its last byte came (Unix time in ms). A body that is passed on
        comes as `body` and is not among the words.
        """
        verb = words[0].upper()
        if verb not in REQUEST_VERBS:
            raise MalformedCommand("unknown command")
        if not 4 <= len(words) + (body is not None) <= 5:
            raise MalformedCommand("wrong number of arguments")
        customer = _customer_number(words[1])
        self._check_id(words[2])
        fields = _read_fields(words[3])
        number = self._request_class(verb, fields)
        units, spread = self._amounts(fields)
        time_limit_ms = min(float(fields[b"d"]), self.node.settings.classes[number].deadline_ms) - MARGIN_MS
        deadline = arrived_at + time_limit_ms
        self.node.serial += 1
        arrival = it.Arrived(
            self.node.serial,
            deadline,
            customer,
            self.plans[fields[b"t"]],
            number,
            units,
            spread,
            fields.get(b"r") == b"1",
            body is None,
        )
        held_bytes = sum(map(len, words))
        if body is not None:
            deadline, held_bytes = math.inf, held_bytes + STREAMED_BODY_BYTES
        start = 0 if words[3].startswith(b"d=") else words[3].index(b",d=") + 1
        end = words[3].find(b",", start)
        before, after = words[3][:start], words[3][end:] if end > 0 else b""
        return Request(arrival, deadline, words, before, after, client, held_bytes, time_limit_ms, body)

    def _check_id(self, request_id: bytes) -> None:
        if not _is_request_id(request_id):
            raise MalformedCommand("id is empty or odd")
        if request_id in self.node.request_ids:
            # Guards against two requests that a host would take for one.
            raise MalformedCommand("a request with this id is open")

    def _request_class(self, verb: bytes, fields: dict[bytes, bytes]) -> int:
        """The number of the request's class, which goes with the verb; the plan is checked as well."""
        if fields[b"c"] not in self.classes:
            raise MalformedCommand("unknown class")
        if fields[b"t"] not in self.plans:
            raise MalformedCommand("unknown plan")
        number = self.classes[fields[b"c"]]
        effect = self.node.settings.classes[number].effect
        if (verb == b"API.READ") != (effect is it.Effect.SAFE):
            raise MalformedCommand("the class goes with the other command")
        if effect is it.Effect.KEYED and not fields.get(b"k"):
            raise MalformedCommand("k is missing")
        return number

    def _amounts(self, fields: dict[bytes, bytes]) -> tuple[float, float]:
        """The request's units, and how many gateways its customer comes through.

        Guards against a customer's quota being spoilt for all by one odd command.
        """
        for name in NUMBER_FIELDS:
            text = fields[name]
            # Nearly all are plain digits, for which the pattern need not be tried.
            if not (text.isdigit() and len(text) <= MAX_DIGITS) and not _is_decimal(text):
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
