"""All decisions of a gateway. Types, events and actions: rainturn/interface.py. Reasons: docs/findings/."""

from rainturn.decisions.gateway import Gateway

__all__ = ["Gateway"]
