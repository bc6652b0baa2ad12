"""State that one process of a gateway hands over to the next: saved as JSON, read back and checked."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple, TypedDict

from rainturn import interface as it
from rainturn.averages import AnswerTime, PassShare
from rainturn.decisions import Gateway
from rainturn.decisions.quota import new_customer
from rainturn.records import Customer, Host

FRESH_LIST_WAIT_MS = 500.0  # a successor waits this long for a fresh list before it reports that it is ready
VERSION = 2  # increased with each change of the fields or of their meaning

HOST_FIELDS: dict[str, type] = {
    "latency_ratio": float,
    "latency_at": float,
    "failures": int,
    "resets": int,
    "failing_since": float,
    "started": float,
    "tried_at": float,
}
CUSTOMER_FIELDS: dict[str, type] = {
    "level": float,
    "confirmed_level": float,
    "filled_at": float,
    "last_request_at": float,
    "others_rate": float,
    "total_window": int,
    "total": float,
    "total_at": float,
    "pass_share": float,
    "pass_credit": float,
    "overrun": float,
    "ceiling_level": float,
    "ceiling_filled_at": float,
}


class StateMismatch(ValueError):
    """Raised when a saved state is damaged or belongs to another version or other settings."""


class SavedState(TypedDict):
    """The JSON form of the state: rows of plain numbers."""

    version: int
    hosts: dict[str, list[float]]  # by number or name: the values of HOST_FIELDS
    customers: list[list[float]]  # key, index of the plan, spread, the values of CUSTOMER_FIELDS
    answer_times: list[list[float]]  # by class: mean and deviation, ms
    pass_shares: list[list[float]]  # by plan: share and sample size
    capacity: list[float]  # capacity, growth, mean number of requests served in a period
    usual_arrivals: list[float]  # mean number in a period, by tier
    counter_load: list[float]  # value and the time up to which it has decayed


class CustomerRow(NamedTuple):
    """The saved row of one customer."""

    key: int
    plan: int
    spread: float
    values: list[float]  # of CUSTOMER_FIELDS


class CheckedState(NamedTuple):
    """A saved state that has been checked."""

    hosts: dict[int, list[float]]  # values of HOST_FIELDS
    customers: list[CustomerRow]
    answer_times: list[AnswerTime]
    pass_shares: list[PassShare]
    capacity: list[float]
    usual_arrivals: list[float]
    counter_load: list[float]


def save_state(gateway: Gateway) -> SavedState:
    """Return the state for a successor: hosts by their numbers here, and customers whose count was read."""
    settings, tiers, load = gateway.settings, gateway.tiers, gateway.calls.load
    known = [customer for customer in gateway.customers.values() if customer.total_window >= 0]
    return SavedState(
        version=VERSION,
        hosts={str(host.id): _field_values(host, HOST_FIELDS) for host in gateway.hosts.values()},
        customers=[
            [customer.key, settings.plans.index(customer.plan), customer.spread]
            + _field_values(customer, CUSTOMER_FIELDS)
            for customer in known
        ],
        answer_times=[[times.mean, times.deviation] for times in gateway.answer_times],
        pass_shares=[[share.share, share.sample_size] for share in gateway.meter.pass_shares],
        capacity=[tiers.capacity, tiers.growth, tiers.mean_served],
        usual_arrivals=list(tiers.mean_arrivals),
        counter_load=[load.value, load.at],
    )


def restore_state(gateway: Gateway, now: float, saved: Mapping[str, Any]) -> None:
    """Take over a predecessor's state; raise `StateMismatch` and change nothing if it does not fit."""
    try:
        state = _read_state(saved, gateway.settings, len(gateway.tiers.mean_arrivals))
    except (AttributeError, IndexError, KeyError, OverflowError, TypeError, ValueError) as error:
        raise StateMismatch(f"saved state: {error!r}") from error
    for number, values in state.hosts.items():
        if number in gateway.hosts:
            _set_fields(gateway.hosts[number], HOST_FIELDS, values)
    gateway.customers.clear()
    for row in state.customers:
        customer = new_customer(row.key, gateway.settings.plans[row.plan], row.spread, now, now)
        _set_fields(customer, CUSTOMER_FIELDS, row.values)
        gateway.customers[row.key] = customer
    gateway.answer_times[:] = state.answer_times
    gateway.meter.pass_shares[:] = state.pass_shares
    gateway.calls.load.value, gateway.calls.load.at = state.counter_load
    tiers = gateway.tiers
    tiers.capacity, tiers.growth, tiers.mean_served = state.capacity
    tiers.mean_arrivals[:] = state.usual_arrivals
    tiers.overload_at = now if tiers.capacity else -math.inf
    tiers.periods = 1
    gateway.ready_after = now + FRESH_LIST_WAIT_MS
    gateway.index.reclassify_all(now)


def _read_state(saved: Mapping[str, Any], settings: it.Settings, tier_count: int) -> CheckedState:
    if saved["version"] != VERSION:
        raise ValueError(f"version {saved['version']!r}, expected {VERSION}")
    hosts = {int(number): _read_numbers(row, len(HOST_FIELDS)) for number, row in saved["hosts"].items()}
    return CheckedState(
        hosts,
        [_read_customer(row, settings) for row in saved["customers"]],
        [AnswerTime(*pair) for pair in _read_pairs(saved["answer_times"], len(settings.classes))],
        [PassShare(*pair) for pair in _read_pairs(saved["pass_shares"], len(settings.plans))],
        _read_numbers(saved["capacity"], 3),
        _read_numbers(saved["usual_arrivals"], tier_count),
        _read_numbers(saved["counter_load"], 2),
    )


def _read_customer(row: list[Any], settings: it.Settings) -> CustomerRow:
    key, plan, spread, *values = row
    if not 0 <= plan < len(settings.plans):
        raise ValueError(f"plan {plan!r}")
    (spread,) = _read_numbers([spread], 1)
    return CustomerRow(int(key), int(plan), spread, _read_numbers(values, len(CUSTOMER_FIELDS)))


def _read_pairs(source: list[Any], count: int) -> list[list[float]]:
    if len(source) != count:
        raise ValueError(f"{len(source)} entries, expected {count}")
    return [_read_numbers(pair, 2) for pair in source]


def _read_numbers(source: list[Any], count: int) -> list[float]:
    if len(source) != count or not all(math.isfinite(value) for value in source):
        raise ValueError(f"expected {count} numbers, got {source!r:.80}")
    return [float(value) for value in source]


def _field_values(record: Host | Customer, fields: dict[str, type]) -> list[float]:
    return [float(getattr(record, name)) for name in fields]


def _set_fields(record: Host | Customer, fields: dict[str, type], values: list[float]) -> None:
    for (name, kind), value in zip(fields.items(), values, strict=True):
        setattr(record, name, kind(value))
