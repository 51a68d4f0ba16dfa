"""Whether the backend server beside a sidecar still lives.

A server that answers needs no probe. Only when packets went to it and
nothing came back is its port tried, since connections are dear to it.
"""

__all__ = ('BackendHealthCheck', 'PortStatus')

import asyncio
import enum
import logging
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress

logger = logging.getLogger(__name__)

# Silence of a server that has work, after which its port is tried.
UNRESPONSIVE_AFTER_S = 0.3
CONNECT_TIMEOUT_S = 0.5
CHECK_INTERVAL_S = 0.3


class PortStatus(enum.Enum):
    """What a connection attempt shows."""

    LISTENS = 'listens'
    REFUSES = 'refuses'
    SILENT = 'silent'


@define(eq=False, repr=False)
class BackendHealthCheck:
    """Try the server's port while there is a doubt.

    ``is_doubtful()`` says whether packets went unanswered for SILENCE_S;
    ``lost()`` and ``found()`` are called when the port starts or stops to
    refuse connections.
    """

    backend: SocketAddress
    is_unresponsive: Callable[[], bool]
    on_lost: Callable[[], None]
    on_found: Callable[[], None]
    is_lost: bool = field(default=False)

    async def run(self) -> None:
        """Watch for as long as the task lives."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S / 2)
            if self.is_lost or self.is_unresponsive():
                await self._check()
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self) -> None:
        status = await check_port(self.backend)
        if status is PortStatus.REFUSES and not self.is_lost:
            self.is_lost = True
            self.on_lost()
        elif status is PortStatus.LISTENS and self.is_lost:
            self.is_lost = False
            self.on_found()


async def check_port(backend: SocketAddress) -> PortStatus:
    """Connect to a server and close at once."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _reader, writer = await asyncio.open_connection(*backend)
    except ConnectionRefusedError:
        return PortStatus.REFUSES
    except (OSError, TimeoutError):
        return PortStatus.SILENT
    writer.close()
    return PortStatus.LISTENS
