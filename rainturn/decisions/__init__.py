"""Every decision of a gateway. Types, events and actions: rainturn/interface.py. Why: docs/findings/."""

from rainturn.decisions.gateway import Gateway

__all__ = ["Gateway"]
