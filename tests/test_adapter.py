"""Tests of the simulator's adapter on messages written byte by byte, and of its behaviour on bad input."""

from __future__ import annotations

import io
import json
import os
import struct
import subprocess
import sys
from typing import Any

import pytest

from rainturn import benchlink, settings
from rainturn import interface as it

SETTINGS: dict[str, Any] = {
    "me": 1,
    "balancers": 2,
    "my_zone": 0,
    "tick_ms": 4.0,
    "discovery": "push",
    "made_up_key": 3,
    "classes": [
        {
            "effect": "dedup",
            "group": "zone",
            "target_ms": 1500,
            "hard_limit_ms": 6000,
            "credit": 5,
            "late_worth": 0.2,
            "window_ms": 12000,
            "name": "x",
        }
    ],
    "plans": [{"price": 1, "per_second": 2, "peak_units": 8, "parallel": 0, "never_over_rate": 0}],
    "rules": {
        "grace_to_answer_ms": 16,
        "drain_grace_ms": 500,
        "fall_multiple": 3,
        "fall_ms": 1000,
        "cold_from": 0.2,
        "warm_within_ms": 10000,
    },
    "limits": {"max_attempts": 6, "may_cancel": True, "may_duplicate": True},
    "family_info": {"may_count": True, "counter_timeout_ms": 50},
    "stats": {"names": ["concurrent"], "source": "piggyback"},
    "weight_kind": "rough",
}


def record(code: int, body: bytes) -> bytes:
    return struct.pack("<BI", code, len(body)) + body


def batch(number: int, now: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IdII", number, now, len(body) + 4, len(records)) + body


def create(config: dict[str, Any] | bytes, gateway: int = 1) -> bytes:
    raw = config if isinstance(config, bytes) else json.dumps(config).encode()
    return record(0, struct.pack("<IQI", gateway, 9, len(raw)) + raw)


def host_list(gateway: int = 1) -> bytes:
    entry = struct.pack("<HBfIHBd", 0, 0, 1.0, 77, 0, 2, 0.0)
    return record(1, struct.pack("<IIBI", gateway, 1, 2, 1) + entry)


def request(gateway: int = 1, request_class: int = 0) -> bytes:
    return record(2, struct.pack("<IQdQHfHfIf", gateway, 501, 9000.0, 40, 0, 0.0, request_class, 2.0, 0, 1.0))


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "rainturn.benchlink"],
        input=data,
        capture_output=True,
        timeout=30,
        env=dict(os.environ),
    )


def actions(reply: bytes) -> list[tuple[int, bytes]]:
    _, count, size = struct.unpack_from("<III", reply)
    assert size == len(reply) - 12
    out, offset = [], 12
    for _ in range(count):
        code, length = struct.unpack_from("<BI", reply, offset)
        out.append((code, reply[offset + 5 : offset + 5 + length]))
        offset += 5 + length
    assert offset == len(reply)
    return out


def test_settings_are_read_by_their_wire_names_and_unknown_keys_are_ignored() -> None:
    config = settings.parse_settings(json.dumps(SETTINGS).encode())
    assert config.gateway == 1 and config.counter and config.load_fields == ("concurrent",)
    assert config.classes[0].effect is it.Effect.KEYED and config.classes[0].aim_ms == 1500
    assert config.plans[0].rate == 2 and config.rules.cold_share == 0.2


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("tick_ms",), "soon", "tick_ms"),
        (("rules", "fall_ms"), -1, "fall_ms"),
        (("balancers",), None, "gateways"),
        (("limits", "max_attempts"), 1.5, "max_attempts"),
        (("classes",), 4, "classes"),
        (("rules",), None, "rules"),
        (("limits", "may_cancel"), 1, "may_cancel"),
    ],
)
def test_the_error_names_a_wrong_setting(path: tuple[str, ...], value: object, named: str) -> None:
    config = json.loads(json.dumps(SETTINGS))
    inner = config
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    with pytest.raises(ValueError, match=named):
        settings.parse_settings(json.dumps(config).encode())


def test_the_error_names_a_missing_setting() -> None:
    config = json.loads(json.dumps(SETTINGS))
    del config["rules"]["cold_from"]
    with pytest.raises(ValueError, match="cold_share"):
        settings.parse_settings(json.dumps(config).encode())


def test_a_request_is_sent_to_the_listed_host_and_an_unknown_class_is_refused() -> None:
    adapter = benchlink.Adapter()
    data = create(SETTINGS) + host_list() + request(request_class=9)
    got = actions(adapter.answer(3, 1000.0, 3, memoryview(data)))
    assert (9, struct.pack("<IQd", 1, 501, 0.0)) in got
    data = request()
    calls = [body for code, body in actions(adapter.answer(4, 1004.0, 1, memoryview(data))) if code == 7]
    assert len(calls) == 1
    name = struct.unpack_from("<IQ", calls[0])[1]
    added = record(10, struct.pack("<IHQfd", 1, 100, name, 3.0, 2.0))  # another gateway came first
    sent = [body for code, body in actions(adapter.answer(5, 1008.0, 1, memoryview(added))) if code == 3]
    assert sent == [struct.pack("<IQId", 1, 501, 77, 0.0)]


def test_all_fields_of_an_ended_attempt_are_read() -> None:
    body = struct.pack("<IQBIHdBHHBf", 1, 501, 2, 77, 303, 12.5, 0, 86, 3, 1, 4.0)
    event = benchlink.DECODERS[4](memoryview(body))
    assert event == it.AttemptEnded(501, 2, 77, it.Outcome.TIMEOUT, 12.5, False, 0.85, 3.0, (4.0,))


def test_settings_that_are_not_json_are_reported_in_the_reply() -> None:
    adapter = benchlink.Adapter()
    got = actions(adapter.answer(1, 0.0, 1, memoryview(create(b"{nope"))))
    assert got[0][0] == 12 and b"not JSON" in got[0][1]


@pytest.mark.parametrize(
    "data",
    [
        b"\x01\x02",
        batch(1, 0.0, record(99, b"\0\0\0\0")),
        batch(1, 0.0, record(2, b"\0\0\0\0\0")),
        struct.pack("<IdII", 1, 0.0, 1, 0),
        struct.pack("<IdII", 1, 0.0, 1 << 31, 0),
        struct.pack("<IdII", 1, 0.0, 4, 3),
        batch(1, 0.0) + b"\0",
        struct.pack("<IdII", 1, 0.0, 40, 1) + b"\0" * 9,
    ],
)
def test_malformed_input_ends_the_program_with_one_error_line_and_status_2(data: bytes) -> None:
    done = run(data)
    assert done.returncode == 2
    assert done.stderr.startswith(b"rainturn: ") and done.stderr.count(b"\n") == 1


def test_end_of_input_ends_the_program_without_error() -> None:
    done = run(batch(7, 5.0))
    assert done.returncode == 0 and done.stderr == b""
    assert done.stdout == struct.pack("<III", 7, 0, 0)


def test_a_removed_gateway_handles_no_further_events() -> None:
    sink = io.BytesIO()
    remove = record(9, struct.pack("<I", 1))
    benchlink.serve(io.BytesIO(batch(1, 0.0, create(SETTINGS), host_list(), remove, request())), sink)
    assert [code for code, _ in actions(sink.getvalue())] == [5]
