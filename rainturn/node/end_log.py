"""Logs and counts why each request, attempt and connection ended: one line and one reason for each."""

from __future__ import annotations

import enum
import logging
import math
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from rainturn.interface import Outcome, RefusalReason

log = logging.getLogger(__name__)


class RequestEnd(enum.Enum):
    """Why a request ended, where the decision module did not end it; see `RefusalReason` for that."""

    PASSED = "passed"  # a host's value went out whole
    DEADLINE = "deadline"
    CLIENT_LEFT = "client_left"
    CLIENT_UNKNOWN = "client_unknown"  # whether its client was still there could not be told
    INCOMPLETE = "incomplete"  # its body did not come whole in time
    NO_ROOM = "no_room"  # for the request or for its value
    ERROR_BEHIND = "error_behind"  # an error for a later command was due
    VALUE_CUT = "value_cut"  # its value broke off after a part of it had been sent
    SHUTDOWN = "shutdown"


class AttemptEnd(enum.Enum):
    """Why an attempt ended."""

    ANSWERED = "answered"
    HOST_BUSY = "host_busy"
    HOST_ERROR = "host_error"
    MALFORMED = "malformed_answer"
    ANSWER_STALLED = "answer_stalled"
    UPLOAD_STALLED = "upload_stalled"
    CONNECTION_LOST = "connection_lost"
    CONNECT_FAILED = "connect_failed"
    NO_CONNECTION = "no_connection"  # this gateway may hold no more connections
    NOT_SENT = "not_sent"  # its request had ended, its time was over, or it was one too many
    HOST_LEAVING = "host_leaving"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"  # by the decision module
    NOT_NEEDED = "not_needed"  # its request has ended, or has the value of another attempt


class ConnectionEnd(enum.Enum):
    """Why a connection ended. The reason is the first one, also where the peer closes in answer to it."""

    PEER_CLOSED = "peer_closed"
    LOST = "lost"
    IDLE = "idle"
    NO_COMMAND = "no_command"  # a new client sent no valid command in time
    EVICTED = "evicted"  # for a new connection
    DRAINED = "drained"
    REJECTED = "rejected"  # the client got an error that ends the connection
    VALUE_CUT = "value_cut"  # a long value broke off
    WRITE_STALLED = "write_stalled"
    MALFORMED = "malformed_answer"
    UNSOLICITED = "unsolicited_bytes"
    FIELDS_LATE = "fields_late"
    ANSWER_STALLED = "answer_stalled"
    UPLOAD_STALLED = "upload_stalled"
    EARLY_ANSWER = "early_answer"  # the host answered before it had the whole command
    HOST_CHANGED = "host_changed"  # it is leaving, has restarted or has another address
    SUSPECT = "suspect"  # it was opened before an attempt at the same host got no answer
    ATTEMPT_ENDED = "attempt_ended"  # before its answer, so that the connection cannot be used again


OUTCOME_REASONS = {
    Outcome.OK: AttemptEnd.ANSWERED,
    Outcome.FULL: AttemptEnd.HOST_BUSY,
    Outcome.ERROR: AttemptEnd.HOST_ERROR,
    Outcome.RESET: AttemptEnd.CONNECTION_LOST,
    Outcome.UNREACHABLE: AttemptEnd.CONNECT_FAILED,
    Outcome.NOT_SENT: AttemptEnd.NOT_SENT,
    Outcome.TIMEOUT: AttemptEnd.DEADLINE,
    Outcome.CANCELLED: AttemptEnd.CANCELLED,
}


class Traffic(NamedTuple):
    """What passed before an end: bytes received and sent, the age and the time left in ms."""

    received_bytes: int
    sent_bytes: int
    age_ms: float
    time_left_ms: float  # infinite where no deadline is set

    def text(self) -> str:
        """Return the fields of a log line."""
        left = "none" if math.isinf(self.time_left_ms) else round(self.time_left_ms)
        return (
            f"received={self.received_bytes} sent={self.sent_bytes} age_ms={self.age_ms:.0f} left_ms={left}"
        )


class EndLog:
    """Logs each end, and counts the ends by kind and reason.

    `write` takes the lines; without it they go through the `logging` module.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()  # by `kind.reason`
        self.last_connection = 0
        self.write: Callable[[str], None] | None = None

    def number_connection(self) -> int:
        """Return the number of a new connection, by which log lines refer to it."""
        self.last_connection += 1
        return self.last_connection

    def request(
        self,
        request_id: bytes,
        connection: int,
        class_number: int,
        attempts: int,
        reason: RequestEnd | RefusalReason,
        traffic: Traffic,
    ) -> None:
        """Record the end of a request; `connection` is its client's."""
        self.counts[f"request.{reason.value}"] += 1
        if self._is_enabled():
            self._log(
                f"end request id={request_id.decode('ascii', 'replace')} connection={connection} "
                f"class={class_number} attempts={attempts} reason={reason.value} {traffic.text()}"
            )

    def attempt(
        self,
        request_id: bytes,
        number: int,
        host: int,
        connection: int,
        reason: AttemptEnd,
        traffic: Traffic,
    ) -> None:
        """Record the end of an attempt; `connection` is 0 if it had none yet."""
        self.counts[f"attempt.{reason.value}"] += 1
        if self._is_enabled():
            self._log(
                f"end attempt id={request_id.decode('ascii', 'replace')} number={number} host={host} "
                f"connection={connection} reason={reason.value} {traffic.text()}"
            )

    def connection(self, peer: str, number: int, reason: ConnectionEnd, traffic: Traffic) -> None:
        """Record the end of a connection; `peer` says whose it is."""
        self.counts[f"connection.{reason.value}"] += 1
        if self._is_enabled():
            self._log(f"end connection peer={peer} number={number} reason={reason.value} {traffic.text()}")

    def _is_enabled(self) -> bool:
        return self.write is not None or log.isEnabledFor(logging.INFO)

    def _log(self, line: str) -> None:
        if self.write is not None:
            self.write(line)
        else:
            log.info("%s", line)
