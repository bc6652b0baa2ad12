"""Reads a client's command: the words of `API.READ` and `API.WRITE` into a request, or a typed error."""

from __future__ import annotations

import math
import re

from rainturn import interface as it
from rainturn.node.body import Body
from rainturn.node.gateway import MARGIN_MS, Answerer, Node, Request
from rainturn.settings import Names

REQUEST_VERBS = (b"API.READ", b"API.WRITE")
REQUIRED_FIELDS = (b"c", b"t", b"d", b"units", b"spread", b"first")
NUMBER_FIELDS = REQUIRED_FIELDS[2:]
CUSTOMERS = 1 << 33  # a customer's number is below this
STREAMED_BODY_BYTES = 128 * 1024  # memory counted for a body that is passed on: a piece, and as much unsent

_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
_NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,6})?")
_REQUEST_ID = re.compile(rb"[!-~]{1,64}")


class MalformedCommand(Exception):
    """A command that cannot be served; the client gets the text as its error."""


def _customer_number(word: bytes) -> int:
    if not _CUSTOMER.fullmatch(word) or (customer := int(word, 16)) >= CUSTOMERS:
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
    for name in REQUIRED_FIELDS:
        if not fields.get(name):
            raise MalformedCommand(f"{name.decode()} is missing")
    return fields


def _around_deadline(text: bytes) -> tuple[bytes, bytes]:
    """The text of the fields before `d=...` and after it: each attempt sends a `d` of its own."""
    start = 0 if text.startswith(b"d=") else text.index(b",d=") + 1
    end = text.find(b",", start)
    return text[:start], text[end:] if end > 0 else b""


class CommandParser:
    """Turns the words of a command into a request."""

    def __init__(self, node: Node, names: Names) -> None:
        self.node = node
        self.classes = {name.encode(): number for number, name in enumerate(names.classes)}
        self.plans = {name.encode(): number for number, name in enumerate(names.plans)}

    def request(self, words: list[bytes], client: Answerer, body: Body | None = None) -> Request:
        """Read `API.READ|API.WRITE customer id fields [body]`, or raise `MalformedCommand`.

        A body that is passed on comes as `body` and is not among the words.
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
        deadline = self.node.clock.now() + time_limit_ms
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
        size = sum(map(len, words)) + (STREAMED_BODY_BYTES if body is not None else 0)
        until = deadline if body is None else math.inf
        return Request(arrival, until, words, _around_deadline(words[3]), client, size, time_limit_ms, body)

    def _check_id(self, request_id: bytes) -> None:
        if not _REQUEST_ID.fullmatch(request_id):
            raise MalformedCommand("id is empty or odd")
        if request_id in self.node.ids:
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
            if not _NUMBER.fullmatch(fields[name]):
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
