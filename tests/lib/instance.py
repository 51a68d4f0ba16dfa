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
    """One balancer and the IP address to which the fabric sends."""

    host: str
    program: Program
    data_center: str

    @property
    def address(self) -> Address:
        """The address for status requests."""
        return Address(self.host, DAEMON_PORT)


@define(eq=False)
class Instance:
    """A backend server and its sidecar.

    ``saved_journal`` holds the journal of a backend server that ended.
    """

    service: str
    endpoint: Endpoint
    sidecar: Program
    backend: Program
    control: ControlClient
    saved_journal: list[JournalEntry] = Factory(list)

    @property
    def name(self) -> str:
        """The name of the instance's endpoint."""
        return self.endpoint.name

    async def set_behavior(self, **changes: Any) -> None:
        """Change attributes of the backend server's ``Behavior``."""
        await self.control.put('/control/behavior', changes)

    async def journal(self) -> list[JournalEntry]:
        """Return the journal entries of the backend server.

        The journal of a killed server is available only if the server was
        started with --echo.
        """
        if self.backend.running:
            plain = await self.control.get('/control/journal')
            return [*self.saved_journal, *_structure(plain)]
        return [*self.saved_journal, *self._echoed()]

    async def kill_backend(self) -> None:
        """Kill the backend server and save the entries that it printed."""
        await self.backend.kill()
        self.saved_journal.extend(self._echoed())

    def _echoed(self) -> list[JournalEntry]:
        if self.saved_journal or not self.backend.children:
            return []
        events = self.backend.child.events()
        return _structure(each['entry'] for each in events if 'entry' in each)


def _structure(plain: Iterable[Any]) -> list[JournalEntry]:
    return [cattrs.structure(each, JournalEntry) for each in plain]
