"""The scale run: stand-ins for what a gateway meets, and many hollow gateways beside a few real ones.

Nothing here is loaded by the gateway itself or by the simulator's adapter. The packages that it needs stand
in requirements-dev.txt only.
"""
