"""What a backend server can be told to do, and what it ran."""

from attrs import define, frozen


@frozen
class Behavior:
    """What the control port can set.

    ``delay`` is the service time of short requests, ``cold`` the seconds
    after the start in which each request takes ``cold_factor`` times as
    long. ``cut`` closes a connection in the middle of an answer, ``late``
    holds answers back, ``freeze`` holds everything. ``health`` and ``load``
    replace the true answers of these paths.
    """

    delay: float = 0.005
    cold: float = 0
    cold_factor: float = 10.0
    shed: bool = False
    drain: bool = False
    cut: bool = False
    late: bool = False
    freeze: bool = False
    health: str = ''
    load: float = -1.0
    export_rate: float = 4_000_000.0


@define
class JournalEntry:
    """One request that the backend server began to run."""

    id: str
    method: str
    path: str
    instance: str
    service: str
    started: float
    ended: float = 0
    state: str = 'running'
