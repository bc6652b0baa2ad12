"""Applies host list updates to the pools and the decision module: small ones at once, large ones in steps.

A step holds the event loop for some tenths of a millisecond, and requests are served between two steps. A
large update isn't applied in the order of its entries: hosts that drain or are gone come first, because
nothing new may be sent to them once their grace is over. Ready hosts follow.
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

# At the 99th percentile, applying a list may delay a request by 2.5 ms. A request passes through the event
# loop about four times: when it arrives, with the counter's total, with the host's answer, and once more with
# a second attempt. One step should therefore take at most 0.6 ms, even on a core of half the usual speed.
COMPARED_PER_STEP = 250  # entries that are equal to the stored ones and are only compared
CHECK_COST = 10  # cost of checking an entry that differs, as a number of comparisons of equal entries
CHANGED_PER_STEP = 25  # entries that differ and are applied to the pools and the decision module
# In a fleet of up to this number of hosts, every update is applied at once. In a larger fleet, only a delta
# of at most CHANGED_PER_STEP entries is.
SMALL_FLEET_HOSTS = 256


class Problems:
    """Counts the entries of one update that are malformed, duplicate or for an unlisted host."""

    def __init__(self) -> None:
        self.malformed = self.duplicates = self.unlisted = 0
        self.first_malformed = ""

    def add_malformed(self, entry: Any, error: Exception) -> None:
        """Record an entry that can't be read."""
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
    """The changes of an update, as far as its entries have been compared with the stored ones."""

    is_full: bool
    is_table_complete: bool  # whether the previous update was applied completely: equal entries are skipped
    unseen: dict[str, EntryFields]  # the stored hosts that haven't appeared in the full list so far
    changed: dict[str, ListedHost] = field(default_factory=dict)
    problems: Problems = field(default_factory=Problems)


class ListUpdater:
    """Applies updates of the host list one after another."""

    def __init__(self, node: Node, pools: HostPools, table: HostTable) -> None:
        self.node, self.pools, self.table = node, pools, table
        self.is_table_complete = True  # False while an update is applied, and after one that failed midway

    def is_small(self, update: HostListUpdate) -> bool:
        """Return whether an update is applied at once.

        The first update is applied at once whatever its size, because a gateway without hosts serves nothing.
        """
        stored_count = len(self.table.fields)
        limit = SMALL_FLEET_HOSTS if stored_count <= SMALL_FLEET_HOSTS else CHANGED_PER_STEP
        return not stored_count or max(len(update.entries), stored_count if update.is_full else 0) <= limit

    def apply(self, update: HostListUpdate, kind: it.ListKind) -> bool:
        """Apply an update at once, as one event for the decision module.

        Returns whether all entries were well formed.
        """
        self.is_table_complete = False
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
        self.is_table_complete = True
        return not problems.malformed

    def _read_all(self, update: HostListUpdate, problems: Problems) -> dict[str, ListedHost]:
        """Return the hosts of an update by name; a malformed entry leaves the stored one in force."""
        hosts: dict[str, ListedHost] = {}
        while update.entries:
            entry = update.entries.popleft()
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
        """Apply an update in steps, as delta events; other work may run at each `yield`.

        No change is applied before all entries are compared, and the caller must exhaust the iterator before
        it applies another update. The decision module therefore never sees a mix of two lists, except that
        the hosts that leave are applied before the others.
        """
        comparison = Comparison(
            update.is_full, self.is_table_complete, dict(self.table.fields) if update.is_full else {}
        )
        self.is_table_complete = False
        yield
        while update.entries:
            comparisons_left = COMPARED_PER_STEP
            while comparisons_left > 0 and update.entries:
                comparisons_left -= self._compare(update.entries.popleft(), comparison)
            yield
        gone = [
            name
            for name in comparison.unseen
            if self.table.is_listed(name) or not comparison.is_table_complete
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
            self._feed(it.ListKind.DELTA, [])  # tells the decision module that a list without changes arrived
        comparison.problems.log(update.version)
        self.is_table_complete = True

    def _compare(self, entry: Any, comparison: Comparison) -> int:
        """Compare an entry with the stored one; return the cost, as a number of equal entries."""
        try:
            fields = get_fields(entry)
            name = str(fields[0])
            stored = self.table.fields.get(name)
            host = None if comparison.is_table_complete and fields == stored else parse_host(fields)
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
        """Apply changes to the pools and, as one event, to the decision module."""
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
        """Return a stored host as gone, because a full list doesn't contain it."""
        return parse_host(as_gone(self.table.fields[name]))

    def _feed(self, kind: it.ListKind, entries: list[it.HostEntry]) -> None:
        """Pass a list event to the decision module, then end the attempts that wait for leaving hosts."""
        self.node.dispatch(it.HostList(kind, tuple(entries)))
        self.pools.end_waiting_at_leaving_hosts()

    def _is_unlisted(self, host: ListedHost) -> bool:
        """Return whether an entry reports a host as gone that isn't in the table."""
        return host.state is it.HostState.GONE and host.name not in self.table.fields


def _batches(items: list[Item]) -> Iterator[list[Item]]:
    """Split a list into batches of at most CHANGED_PER_STEP items."""
    for start in range(0, len(items), CHANGED_PER_STEP):
        yield items[start : start + CHANGED_PER_STEP]
