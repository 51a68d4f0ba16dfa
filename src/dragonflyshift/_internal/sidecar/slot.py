"""A slot of the own backend server, taken for one request."""

import time

from attrs import define, field

from dragonflyshift._internal.limits import Admission


@define(eq=False)
class Slot:
    """Give a taken slot back exactly once, whatever becomes of its request.

    The time since ``begin`` counts as held; without it the slot was unused.
    """

    admission: Admission
    _began_at: float | None = field(default=None, init=False)
    _given_back: bool = field(default=False, init=False)

    def begin(self) -> None:
        """Take note that the request starts now."""
        self._began_at = time.monotonic()

    def give_back(self) -> None:
        """Free the slot; further calls do nothing."""
        if self._given_back:
            return
        self._given_back = True
        now = time.monotonic()
        began_at = now if self._began_at is None else self._began_at
        self.admission.finish(now, now - began_at)
