"""Translation of settings, as the simulator and configuration files write them, to the interface's types."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from rainturn import interface as it

# Words and keys of the settings object, each with its value or field in the interface.
EFFECTS = {"retryable": it.Effect.SAFE, "dedup": it.Effect.KEYED, "fragile": it.Effect.UNSAFE}
GROUPS = {"all": it.Group.ALL, "zone": it.Group.ZONE, "cell": it.Group.CELL}
CLASS_KEYS = {"target_ms": "aim_ms", "hard_limit_ms": "deadline_ms", "credit": "worth"}
PLAN_KEYS = {
    "per_second": "rate",
    "peak_units": "burst",
    "never_over_rate": "ceiling_rate",
    "cap_slack": "ceiling_slack",
    "extra_worth": "over_worth",
    "excess_cost": "over_cost",
}
RULE_KEYS = {"grace_to_answer_ms": "answer_grace_ms", "cold_from": "cold_share", "warm_within_ms": "warm_ms"}
LIMIT_KEYS = {"retry_after": "honours_backoff", "max_retry_after_ms": "max_backoff_ms"}
FAMILY_KEYS = {
    "may_count": "counter",
    "metering_ms": "meter_ms",
    "cost_after": "settles_later",
    "units_top": "most_units",
}
TOP_LEVEL_KEYS = {"me": "gateway", "balancers": "gateways", "my_zone": "zone"}


def _rename_keys(source: Any, new_names: dict[str, str], where: str) -> dict[str, Any]:
    """Return an object with the given keys renamed, or raise a ValueError if it is no object."""
    if not isinstance(source, dict):
        raise ValueError(f"setting {where}: expected an object, got {source!r}")
    return {new_names.get(key, key): value for key, value in source.items()}


def _look_up(table: dict[str, Any], word: Any, where: str) -> Any:
    """Return what a word stands for in a table, or raise a ValueError if it is not there."""
    if not isinstance(word, str) or word not in table:
        raise ValueError(f"setting {where}: expected one of {sorted(table)}, got {word!r}")
    return table[word]


def _required_list(source: dict[str, Any], key: str) -> list[Any]:
    if key not in source:
        raise ValueError(f"setting {key}: missing")
    if not isinstance(source[key], list):
        raise ValueError(f"setting {key}: expected a list, got {source[key]!r}")
    return source[key]  # type: ignore[no-any-return]


def _request_class(source: Any) -> it.RequestClass:
    values = _rename_keys(source, CLASS_KEYS, "classes[]")
    values["effect"] = _look_up(EFFECTS, values.get("effect"), "classes[].effect")
    values["group"] = _look_up(GROUPS, values.get("group", "all"), "classes[].group")
    return it.build_settings(it.RequestClass, values)


def parse_settings(body: bytes) -> it.Settings:
    """Parse a settings object from JSON; raises a ValueError that names a wrong setting."""
    try:
        source = json.loads(body)
    except ValueError:
        raise ValueError("settings are not JSON") from None
    return settings_from(source)


def settings_from(source: Any) -> it.Settings:
    """Translate a decoded settings object; raises a ValueError that names a wrong setting."""
    values = _rename_keys(source, TOP_LEVEL_KEYS, "settings")
    values["classes"] = tuple(_request_class(entry) for entry in _required_list(source, "classes"))
    values["plans"] = tuple(
        it.build_settings(it.Plan, _rename_keys(entry, PLAN_KEYS, "plans[]"))
        for entry in source.get("plans") or []
    )
    values["rules"] = it.build_settings(it.Rules, _rename_keys(source.get("rules"), RULE_KEYS, "rules"))
    values["limits"] = it.build_settings(it.Limits, _rename_keys(source.get("limits"), LIMIT_KEYS, "limits"))
    values.update(_rename_keys(source.get("family_info") or {}, FAMILY_KEYS, "family_info"))
    values["asks_for_list"] = source.get("discovery") == "ask"
    stats = _rename_keys(source.get("stats") or {}, {}, "stats")
    values["load_fields"] = tuple(stats.get("names") or ())
    values["sizes_told"] = source.get("weight_kind") in ("nominal", "rough")
    return it.build_settings(it.Settings, values)


class Names(NamedTuple):
    """Names that clients and discovery use; the index of each is its number in the interface."""

    classes: tuple[str, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]


def _names(entries: list[Any], where: str) -> tuple[str, ...]:
    """Return entries that are names, or have one; raise a ValueError for another entry."""
    names: list[Any] = [entry.get("name") if isinstance(entry, dict) else entry for entry in entries]
    for name in names:
        if not isinstance(name, str):
            raise ValueError(f"setting {where}: expected a name, got {name!r}")
    return tuple(names)


def names_from(source: Any) -> Names:
    """Read the names of classes, plans and zones from an object that `settings_from` has accepted."""
    return Names(
        _names(_required_list(source, "classes"), "classes[].name"),
        _names(source.get("plans") or [], "plans[].name"),
        _names(_required_list(source, "localities"), "localities[]"),
    )
