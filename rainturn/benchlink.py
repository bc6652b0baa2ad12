"""Adapter between the simulator's binary protocol and the interface. It makes no decisions.

The simulator writes batches of events to standard input; each batch is answered with the actions that the
gateways return. A batch begins with a header, and each event and action with its code and length. Numbers are
little-endian and unpadded. `deploy/sites/wire.json` lists the messages and their fields.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO, NoReturn

from rainturn import interface as it
from rainturn.decisions import Gateway
from rainturn.settings import parse_settings

MAX_BATCH_BYTES = 1 << 30
BATCH_HEADER = struct.Struct("<IdII")  # number, time (ms), length of what follows the length, record count
REPLY_HEADER = struct.Struct("<III")  # number of the batch, action count, length of the actions
RECORD_HEADER = struct.Struct("<BI")  # code, length of the rest
HOST_ENTRY = struct.Struct("<HBfIHBd")
U32 = struct.Struct("<I")
# Fixed parts of the events, without the record header.
CREATE = struct.Struct("<IQI")
HOST_LIST = struct.Struct("<IIBI")
ARRIVED = struct.Struct("<IQdQHfHfIf")
STREAM_BEGAN = struct.Struct("<IQBId")
ATTEMPT_ENDED = struct.Struct("<IQBIHdBHHB")
REQUEST_GONE = struct.Struct("<IQ")
TIMER_FIRED = struct.Struct("<II")
PROBE_ENDED = struct.Struct("<IIdHB")
PEER_MESSAGE = struct.Struct("<IHH")
COUNT_ANSWERED = struct.Struct("<IHQfd")

OUTCOMES = {
    100: it.Outcome.OK,
    301: it.Outcome.ERROR,
    302: it.Outcome.FULL,
    303: it.Outcome.TIMEOUT,
    304: it.Outcome.UNREACHABLE,
    305: it.Outcome.RESET,
    306: it.Outcome.CANCELLED,
    307: it.Outcome.NOT_SENT,
}
HOST_STATES = {0: it.HostState.DRAINING, 2: it.HostState.READY, 3: it.HostState.GONE}
LIST_KINDS = {0: it.ListKind.DELTA, 1: it.ListKind.FULL, 2: it.ListKind.CACHED, 3: it.ListKind.FAILED}


class WireError(Exception):
    """The input does not follow the protocol."""


def _decode_floats(body: memoryview, offset: int, count: int) -> tuple[float, ...]:
    return struct.unpack_from(f"<{count}f", body, offset) if count else ()


def _decode_host_list(body: memoryview) -> it.HostList:
    """Decode a VIEW message."""
    _, _, kind, count = HOST_LIST.unpack_from(body)
    if HOST_LIST.size + count * HOST_ENTRY.size > len(body):
        raise WireError("VIEW: entries cut short")
    entries = []
    for zone, _, size, host, cell, state, started in HOST_ENTRY.iter_unpack(
        body[HOST_LIST.size : HOST_LIST.size + count * HOST_ENTRY.size]
    ):
        if state not in HOST_STATES:
            raise WireError(f"VIEW: unknown lifecycle {state}")
        entries.append(it.HostEntry(host, zone, cell, HOST_STATES[state], size, started))
    if kind not in LIST_KINDS:
        raise WireError(f"VIEW: unknown kind {kind}")
    return it.HostList(LIST_KINDS[kind], tuple(entries))


def _decode_arrived(body: memoryview) -> it.Arrived:
    _, request, deadline, customer, flags, _, request_class, spread, plan, units = ARRIVED.unpack_from(body)
    return it.Arrived(request, deadline, customer, plan, request_class, units, spread, bool(flags & 2))


def _decode_stream_began(body: memoryview) -> it.StreamBegan:
    _, request, attempt, _, _ = STREAM_BEGAN.unpack_from(body)
    return it.StreamBegan(request, attempt)


def _outcome(status: int) -> it.Outcome:
    if status not in OUTCOMES:
        raise WireError(f"unknown outcome {status}")
    return OUTCOMES[status]


def _decode_attempt_ended(body: memoryview) -> it.AttemptEnded:
    """Decode the end of an attempt; the quota in use comes in percent plus 1, and 0 if it is not known."""
    _, request, attempt, host, status, elapsed, final, usage, units, count = ATTEMPT_ENDED.unpack_from(body)
    return it.AttemptEnded(
        request,
        attempt,
        host,
        _outcome(status),
        elapsed,
        bool(final),
        (usage - 1) / 100.0 if usage else None,
        float(units) if units else None,
        _decode_floats(body, ATTEMPT_ENDED.size, count),
    )


def _decode_request_gone(body: memoryview) -> it.RequestGone:
    return it.RequestGone(REQUEST_GONE.unpack_from(body)[1])


def _decode_timer_fired(body: memoryview) -> it.TimerFired:
    return it.TimerFired(TIMER_FIRED.unpack_from(body)[1])


def _decode_probe_ended(body: memoryview) -> it.ProbeEnded:
    _, host, elapsed, status, count = PROBE_ENDED.unpack_from(body)
    return it.ProbeEnded(host, _outcome(status), elapsed, _decode_floats(body, PROBE_ENDED.size, count))


def _decode_peer_message(body: memoryview) -> it.PeerMessage:
    _, sender, size = PEER_MESSAGE.unpack_from(body)
    return it.PeerMessage(sender, bytes(body[PEER_MESSAGE.size : PEER_MESSAGE.size + size]))


def _decode_count_answered(body: memoryview) -> it.CountAnswered:
    _, status, name, total, elapsed = COUNT_ANSWERED.unpack_from(body)
    return it.CountAnswered(name, _outcome(status), total, elapsed)


# By event code, with the message's name on the wire. 0 (CREATE) and 9 (KILLED) create and remove a gateway.
DECODERS: dict[int, Callable[[memoryview], it.Event]] = {
    1: _decode_host_list,  # VIEW
    2: _decode_arrived,  # REQUEST
    3: _decode_stream_began,  # FIRST_BYTE
    4: _decode_attempt_ended,  # ATTEMPT_END
    5: _decode_request_gone,  # WITHDRAWN
    6: _decode_timer_fired,  # WAKEUP
    7: _decode_probe_ended,  # CHECKED
    8: _decode_peer_message,  # PEER_DATA
    10: _decode_count_answered,  # ADDED
}

# Actions, with the record header: code, length of the rest, number of the gateway, fields.
_SEND = struct.Struct("<BIIQId")
_CANCEL = struct.Struct("<BIIQB")
_REFUSE = struct.Struct("<BIIQd")
_FAIL = struct.Struct("<BIIQ")
_SET_TIMER = struct.Struct("<BIIdI")
_PROBE = struct.Struct("<BIII")
_COUNT = struct.Struct("<BIIQfd")
_WATCH_LIST = struct.Struct("<BIIB")
_FETCH_LIST = struct.Struct("<BII")
_TEXT = struct.Struct("<BIIH")


def _encode_text(code: int, gateway: int, text: str) -> bytes:
    raw = text.encode()[:60_000]
    return _TEXT.pack(code, 6 + len(raw), gateway, len(raw)) + raw


# By type of action; called with the number of the gateway and the action.
ENCODERS: dict[type, Callable[[int, Any], bytes]] = {
    it.Send: lambda g, a: _SEND.pack(3, 24, g, a.request, a.host, a.timeout),
    it.Cancel: lambda g, a: _CANCEL.pack(4, 13, g, a.request, a.attempt),
    it.Refuse: lambda g, a: _REFUSE.pack(9, 20, g, a.request, a.backoff),
    it.Fail: lambda g, a: _FAIL.pack(0, 12, g, a.request),
    it.SetTimer: lambda g, a: _SET_TIMER.pack(5, 16, g, a.delay, a.token),
    it.Probe: lambda g, a: _PROBE.pack(1, 8, g, a.host),
    it.Count: lambda g, a: _COUNT.pack(7, 24, g, a.name, a.amount, a.ttl),
    it.WatchList: lambda g, a: _WATCH_LIST.pack(8, 5, g, a.on),
    it.FetchList: lambda g, a: _FETCH_LIST.pack(11, 4, g),
    it.Note: lambda g, a: _encode_text(10, g, a.text),
}


class Adapter:
    """Holds the simulated gateways and answers batches of events."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}  # by their number on the wire

    def answer(self, number: int, now: float, count: int, body: memoryview) -> bytes:
        """Decode a batch, hand its events to the gateways and encode the reply."""
        replies: list[bytes] = []
        offset = 0
        for _ in range(count):
            if offset + RECORD_HEADER.size > len(body):
                raise WireError(f"batch {number}: fewer records than its header says")
            code, size = RECORD_HEADER.unpack_from(body, offset)
            offset += RECORD_HEADER.size
            if offset + size > len(body) or size < U32.size:
                raise WireError(f"batch {number}: record {code} cut short")
            self._handle_record(now, code, body[offset : offset + size], replies)
            offset += size
        if offset != len(body):
            raise WireError(f"batch {number}: {len(body) - offset} bytes after the last record")
        raw = b"".join(replies)
        return REPLY_HEADER.pack(number, len(replies), len(raw)) + raw

    def _handle_record(self, now: float, code: int, body: memoryview, replies: list[bytes]) -> None:
        """Handle one record. Wrong settings are reported in the reply as a DIE action, code 12."""
        gateway = U32.unpack_from(body)[0]
        if code == 9:
            self.gateways.pop(gateway, None)
            return
        if code != 0 and code not in DECODERS:
            raise WireError(f"unknown event code {code}")
        try:
            if code == 0:
                _, seed, size = CREATE.unpack_from(body)
                if CREATE.size + size > len(body):
                    raise WireError("CREATE: settings cut short")
                settings = parse_settings(bytes(body[CREATE.size : CREATE.size + size]))
                self.gateways[gateway] = Gateway(settings, seed)
                return
            event = DECODERS[code](body)
        except struct.error:
            raise WireError(f"event {code}: fields cut short") from None
        except ValueError as error:
            replies.append(_encode_text(12, gateway, str(error)))
            return
        instance = self.gateways.get(gateway)
        if instance is not None:
            replies.extend(ENCODERS[type(action)](gateway, action) for action in instance.handle(now, event))


def _read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise WireError(f"input ended inside {what}")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raises a WireError on malformed input."""
    adapter = Adapter()
    while header := source.read(BATCH_HEADER.size):
        if len(header) != BATCH_HEADER.size:
            raise WireError("input ended inside a header")
        number, now, size, count = BATCH_HEADER.unpack(header)
        if not U32.size <= size <= MAX_BATCH_BYTES:
            raise WireError(f"batch {number}: length {size} is not between {U32.size} and {MAX_BATCH_BYTES}")
        # The length covers what follows it: the record count, then the records.
        body = _read_exactly(source, size - U32.size, f"batch {number}")
        sink.write(adapter.answer(number, now, count, memoryview(body)))
        sink.flush()


def main() -> NoReturn:
    """Serve on standard input and output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"rainturn: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0)


if __name__ == "__main__":
    main()
