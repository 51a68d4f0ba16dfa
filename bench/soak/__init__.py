"""Soak test that injects faults into real processes on loopback.

Each seed draws its own series of overlapping faults. Daemons are killed,
paused, terminated, reloaded and restarted. The connection to the store is
delayed, reset, silenced or cut in one direction. Backend servers crash and
start again, and the configuration changes. The packets that clients and
backend servers receive are checked, as are the configuration versions in the
logs of the daemons.

Example:
    python -m bench.soak --seed 1 --seeds 50 --seconds 12
"""
