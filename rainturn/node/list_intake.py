"""Applies updates of the host list to the pools and to the module: small ones at once, large ones in steps.

A step holds the event loop for some tenths of a millisecond, and requests go on between two steps. The order
of a large update differs from that of its entries: hosts that drain or are gone come first, since nothing new
may be sent to them once their grace is over, and hosts that are ready follow.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, TypeVar

from rainturn import interface as it
from rainturn.node.gateway import Node
from rainturn.node.host_list import (
    MALFORMED_ENTRY_ERRORS,
    EntryFields,
    HostListUpdate,
    ListedHost,
    as_gone,
    get_fields,
    get_host_name,
    parse_host,
)
from rainturn.node.host_pools import HostPools
from rainturn.node.host_table import HostTable

log = logging.getLogger(__name__)

Item = TypeVar("Item")

# A request may wait 2.5 ms for a list in 99 of 100 cases, and passes the event loop some four times: when it
# comes, with the counter's total, with the host's answer, and once more with a second attempt. So one step
# should take no more than 0.6 ms, also on a core of half the speed of the one on which this was measured.
COMPARED_PER_STEP = 250  # entries that are only compared with what is stored
CHECK_COST = 10  # of an entry that differs and is checked, in units of the comparison of an equal one
CHANGED_PER_STEP = 25  # entries that differ, applied to the pools and the module
SMALL_FLEET_HOSTS = (
    256  # hosts: up to so many, an update is applied as one, as are those of one step of changes
)


class Problems:
    """What is wrong with the entries of one update."""

    def __init__(self) -> None:
        self.malformed = self.duplicates = self.unlisted = 0
        self.first_malformed = ""

    def add_malformed(self, entry: Any, error: Exception) -> None:
        """Note an entry that can't be read."""
        self.malformed += 1
        self.first_malformed = self.first_malformed or f"{get_host_name(entry)}: {error!r}"

    def log(self, version: int) -> None:
        """Log the problems as one line; log nothing if there are none."""
        parts = []
        if self.malformed:
            parts.append(f"{self.malformed} malformed, the first {self.first_malformed}")
        if self.duplicates:
            parts.append(f"{self.duplicates} for a host named before, whose last entry counts")
        if self.unlisted:
            parts.append(f"{self.unlisted} for a host that is gone and was not listed")
        if parts:
            log.warning("discovery: entries of version %d passed over: %s", version, "; ".join(parts))


@dataclass
class Comparison:
    """What an update changes, as far as its entries have been compared with those stored."""

    is_full: bool
    is_base_complete: (
        bool  # whether what is stored has been applied whole, so that equal entries need no work
    )
    unseen: dict[str, EntryFields]  # the stored hosts that a whole list has not named yet
    changed: dict[str, ListedHost] = field(default_factory=dict)
    problems: Problems = field(default_factory=Problems)


class ListUpdater:
    """Applies updates, one after the other."""

    def __init__(self, node: Node, pools: HostPools, table: HostTable) -> None:
        self.node, self.pools, self.table = node, pools, table
        self.is_complete = True  # False while an update is applied, and after one that failed in the middle

    def is_small(self, update: HostListUpdate) -> bool:
        """Whether an update is applied at once; the first one is too: without hosts nothing is served."""
        stored_count = len(self.table.fields)
        limit = SMALL_FLEET_HOSTS if stored_count <= SMALL_FLEET_HOSTS else CHANGED_PER_STEP
        return not stored_count or max(len(update.hosts), stored_count if update.is_full else 0) <= limit

    def apply(self, update: HostListUpdate, kind: it.ListKind) -> bool:
        """Apply an update at once, as one event for the module; return whether all entries could be read."""
        self.is_complete = False
        problems = Problems()
        hosts = self._read_all(update, problems)
        entries = [self._store(host) for host in hosts.values()]
        if update.is_full:
            for name in [name for name in self.table.fields if name not in hosts]:
                gone = self._as_gone(name)
                self.pools.update_host(self._store(gone).host, gone.address, gone.state, gone.started)
        for host, entry in zip(hosts.values(), entries, strict=True):
            self.pools.update_host(entry.host, host.address, host.state, host.started)
        if update.is_full or entries:
            self._feed(kind, entries)
        problems.log(update.version)
        self.is_complete = True
        return not problems.malformed

    def _read_all(self, update: HostListUpdate, problems: Problems) -> dict[str, ListedHost]:
        """The hosts of an update by name; one whose entry is malformed stays as it is stored."""
        hosts: dict[str, ListedHost] = {}
        while update.hosts:
            entry = update.hosts.popleft()
            try:
                host = parse_host(get_fields(entry))
            except MALFORMED_ENTRY_ERRORS as error:
                problems.add_malformed(entry, error)
                name = get_host_name(entry)
                if update.is_full and name is not None and name not in hosts and self.table.is_listed(name):
                    hosts[name] = parse_host(self.table.fields[name])
                continue
            problems.duplicates += host.name in hosts
            problems.unlisted += self._is_unlisted(host)
            hosts[host.name] = host
        return hosts

    def apply_in_steps(self, update: HostListUpdate) -> Iterator[None]:
        """Apply an update in steps, a run of changes for the module; other work may run at each `yield`.

        Nothing is applied before all entries are compared, and the run has to be ended before another update
        is applied: so no two lists are mixed, other than that the hosts that leave do so first.
        """
        comparison = Comparison(
            update.is_full, self.is_complete, dict(self.table.fields) if update.is_full else {}
        )
        self.is_complete = False
        yield
        while update.hosts:
            budget = COMPARED_PER_STEP
            while budget > 0 and update.hosts:
                budget -= self._compare(update.hosts.popleft(), comparison)
            yield
        gone = [
            name
            for name in comparison.unseen
            if self.table.is_listed(name) or not comparison.is_base_complete
        ]
        leaving = [host for host in comparison.changed.values() if host.state is not it.HostState.READY]
        ready = [host for host in comparison.changed.values() if host.state is it.HostState.READY]
        for names in _batches(gone):
            self._apply_changes([self._as_gone(name) for name in names if name in self.table.fields])
            yield
        for hosts in [*_batches(leaving), *_batches(ready)]:
            self._apply_changes(hosts)
            yield
        if not (gone or comparison.changed):
            self._feed(it.ListKind.DELTA, [])  # the module counts a list without changes as heard, too
        comparison.problems.log(update.version)
        self.is_complete = True

    def _compare(self, entry: Any, comparison: Comparison) -> int:
        """Compare an entry with the stored one; return the cost, in comparisons of equal entries."""
        try:
            fields = get_fields(entry)
            name = str(fields[0])
            stored = self.table.fields.get(name)
            host = None if comparison.is_base_complete and fields == stored else parse_host(fields)
        except MALFORMED_ENTRY_ERRORS as error:
            comparison.problems.add_malformed(entry, error)
            comparison.unseen.pop(get_host_name(entry) or "", None)
            return CHECK_COST
        if name in comparison.changed or (
            comparison.is_full and stored is not None and name not in comparison.unseen
        ):
            comparison.problems.duplicates += 1
        comparison.unseen.pop(name, None)
        if host is None:
            comparison.changed.pop(name, None)
            return 1
        comparison.problems.unlisted += self._is_unlisted(host)
        comparison.changed[name] = host
        return CHECK_COST

    def _apply_changes(self, hosts: list[ListedHost]) -> None:
        """Apply some changes to the pools and, as one event, to the module."""
        entries = []
        for host in hosts:
            entry = self._store(host)
            self.pools.update_host(entry.host, host.address, host.state, host.started)
            entries.append(entry)
        self._feed(it.ListKind.DELTA, entries)

    def _store(self, host: ListedHost) -> it.HostEntry:
        entry = self.table.store(host)
        self.pools.add(entry.host, host.name)
        return entry

    def _as_gone(self, name: str) -> ListedHost:
        """A stored host that a whole list does not name."""
        return parse_host(as_gone(self.table.fields[name]))

    def _feed(self, kind: it.ListKind, entries: list[it.HostEntry]) -> None:
        """Give the module news of the list, and then what it has to decide anew because of them."""
        self.node.feed(it.HostList(kind, tuple(entries)))
        self.pools.return_waiting()

    def _is_unlisted(self, host: ListedHost) -> bool:
        """Whether a host is said to be gone that was never listed, or is forgotten."""
        return host.state is it.HostState.GONE and host.name not in self.table.fields


def _batches(items: list[Item]) -> Iterator[list[Item]]:
    """Split a list into parts of one step each."""
    for start in range(0, len(items), CHANGED_PER_STEP):
        yield items[start : start + CHANGED_PER_STEP]
