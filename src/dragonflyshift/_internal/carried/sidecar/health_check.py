"""Health check of the backend server beside a sidecar.

A server that answers packets needs no check. Its port is checked only when
packets went to it and none came back, because connections are expensive for
it.
"""

__all__ = ('BackendHealthCheck', 'PortStatus')

import asyncio
import enum
import logging
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress

logger = logging.getLogger(__name__)

# Time without packets from a server that has requests, after which its port
# is checked.
UNRESPONSIVE_AFTER_S = 0.3
CONNECT_TIMEOUT_S = 0.5
CHECK_INTERVAL_S = 0.3


class PortStatus(enum.Enum):
    """Result of a connection attempt."""

    LISTENS = 'listens'
    REFUSES = 'refuses'
    SILENT = 'silent'


@define(eq=False, repr=False)
class BackendHealthCheck:
    """Checks the server's port while the server is unresponsive or lost.

    ``is_unresponsive()`` returns whether packets have been unanswered for
    ``UNRESPONSIVE_AFTER_S``. ``on_lost()`` is called when the port begins to
    refuse connections, ``on_found()`` when it accepts them again.
    """

    address: SocketAddress
    is_unresponsive: Callable[[], bool]
    on_lost: Callable[[], None]
    on_found: Callable[[], None]
    is_lost: bool = field(default=False)

    async def run(self) -> None:
        """Check the server until the task is cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S / 2)
            if self.is_lost or self.is_unresponsive():
                await self._check()
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self) -> None:
        status = await check_port(self.address)
        if status is PortStatus.REFUSES and not self.is_lost:
            self.is_lost = True
            self.on_lost()
        elif status is PortStatus.LISTENS and self.is_lost:
            self.is_lost = False
            self.on_found()


async def check_port(address: SocketAddress) -> PortStatus:
    """Connect to a server, close the connection and return the result."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _reader, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return PortStatus.REFUSES
    except (OSError, TimeoutError):
        return PortStatus.SILENT
    writer.close()
    return PortStatus.LISTENS
