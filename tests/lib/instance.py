"""The balancers and endpoints of a running cluster."""

from collections.abc import Iterable
from typing import Any

import cattrs
from attrs import Factory, define

from dragonflyshift._internal.models import Address, Endpoint
from tests.lib.control import ControlClient
from tests.lib.journal import JournalEntry
from tests.lib.plan import DAEMON_PORT
from tests.lib.processes import Program


@define(eq=False)
class Balancer:
    """One balancer and the IP on which the fabric reaches it."""

    host: str
    program: Program
    data_center: str

    @property
    def address(self) -> Address:
        """Where it takes status requests."""
        return Address(self.host, DAEMON_PORT)


@define(eq=False)
class Instance:
    """One endpoint: a backend server and the sidecar beside it."""

    service: str
    endpoint: Endpoint
    sidecar: Program
    backend: Program
    control: ControlClient
    saved_journal: list[JournalEntry] = Factory(list)

    @property
    def name(self) -> str:
        """The instance's name in the register."""
        return self.endpoint.name

    async def set_behavior(self, **changes: Any) -> None:
        """Change how the backend server behaves."""
        await self.control.put('/control/behavior', changes)

    async def journal(self) -> list[JournalEntry]:
        """Return what the backend server ran.

        Of one that was killed this is only known when it ran with --echo.
        """
        if self.backend.running:
            plain = await self.control.get('/control/journal')
            return [*self.saved_journal, *_structure(plain)]
        return [*self.saved_journal, *self._echoed()]

    async def kill_backend(self) -> None:
        """Kill the backend server, keeping what it echoed."""
        await self.backend.kill()
        self.saved_journal.extend(self._echoed())

    def _echoed(self) -> list[JournalEntry]:
        if self.saved_journal or not self.backend.children:
            return []
        events = self.backend.child.events()
        return _structure(each['entry'] for each in events if 'entry' in each)


def _structure(plain: Iterable[Any]) -> list[JournalEntry]:
    return [cattrs.structure(each, JournalEntry) for each in plain]
