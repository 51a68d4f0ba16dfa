"""Carried flows on a virtual clock: the roles' own objects, emulated world.

Clients, fabric, links and backend servers are emulated; balancers and
sidecars are the objects that the daemons run. A scenario repeats exactly for
a seed and needs no processes and no sockets.

Example:
    python -m bench.emulator power-loss --seed 3
"""
