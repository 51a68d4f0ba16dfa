"""A fault soak: real processes on loopback, faults from outside, promises.

Each seed draws its own series of overlapping faults: processes are killed,
paused, stopped, reloaded and restarted, the way to the store is delayed,
reset, silenced or cut one way, backend servers end and start, the
configuration changes. What clients and backend servers see is checked.

Example:
    python -m bench.soak --seed 1 --seeds 50 --seconds 12
"""
