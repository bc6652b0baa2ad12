"""The emulator: measures large fleets on one machine, with many hollow gateways and a few real ones.

A hollow gateway decides as a real one does, but has no sockets to clients and hosts. Stand-ins take the place
of discovery, the counter, hosts and clients. Neither the gateway nor the simulator's adapter imports this
package; the packages that only it needs are listed in requirements-dev.txt alone.
"""
