"""A slot of the local backend server, held for one request."""

import time

from attrs import define, field

from dragonflyshift._internal.limits import Admission


@define(eq=False)
class Slot:
    """A held slot that is released exactly once, however its request ends.

    The time since ``start`` counts as service time; it is 0 if the request
    was not started.
    """

    admission: Admission
    _started_at: float | None = field(default=None, init=False)
    _released: bool = field(default=False, init=False)

    def start(self) -> None:
        """Record the start of the request."""
        self._started_at = time.monotonic()

    def release(self) -> None:
        """Free the slot; further calls do nothing."""
        if self._released:
            return
        self._released = True
        now = time.monotonic()
        started_at = now if self._started_at is None else self._started_at
        self.admission.finish(now, now - started_at)
