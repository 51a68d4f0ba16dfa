"""Simulation of carried flows on a virtual clock.

Clients, fabric, links and backend servers are emulated. Balancers and
sidecars run the packet-handling objects of the real daemons. A run needs no
processes and no sockets, and the same scenario and seed give the same result.

Example:
    python -m bench.emulator power-loss --seed 3
"""
