"""Settings and journal entries of the backend server stand-in."""

from attrs import define, frozen


@frozen
class Behavior:
    """Settings that the control port can change.

    ``delay`` is the service time of short requests in seconds. During the
    first ``cold`` seconds each request takes ``cold_factor`` times as long.
    ``shed`` refuses all requests with status 503, ``drain`` does the same
    and reports the server as draining. ``cut`` closes the connection in the
    middle of a response, ``late`` delays each response, ``freeze`` suspends
    all requests until it is cleared. ``health`` and ``load`` replace the true
    values that ``/health`` and ``/load`` return, unless ``health`` is empty
    or ``load`` is negative. ``export_rate`` is in bytes per second.
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
    """One request that the backend server started.

    Times are Unix times in seconds. ``state`` is ``running``, ``done``,
    ``cut``, ``expired`` or ``abandoned``.
    """

    id: str
    method: str
    path: str
    instance: str
    service: str
    started: float
    ended: float = 0
    state: str = 'running'
