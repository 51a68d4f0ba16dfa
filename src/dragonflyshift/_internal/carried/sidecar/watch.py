"""Whether the backend server beside a sidecar still lives.

A server that answers needs no probe. Only when packets went to it and
nothing came back is its port tried, since connections are dear to it.
"""

__all__ = ('BackendLife', 'BackendWatch')

import asyncio
import enum
import logging
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress

logger = logging.getLogger(__name__)

# Silence of a server that has work, after which its port is tried.
SILENCE_S = 0.3
CONNECT_TIMEOUT_S = 0.5
RETRY_S = 0.3


class BackendLife(enum.Enum):
    """What a connection attempt shows."""

    LISTENS = 'listens'
    REFUSES = 'refuses'
    SILENT = 'silent'


@define(eq=False, repr=False)
class BackendWatch:
    """Try the server's port while there is a doubt.

    ``is_doubtful()`` says whether packets went unanswered for SILENCE_S;
    ``lost()`` and ``found()`` are called when the port starts or stops to
    refuse connections.
    """

    backend: SocketAddress
    is_doubtful: Callable[[], bool]
    lost: Callable[[], None]
    found: Callable[[], None]
    is_lost: bool = field(default=False)

    async def run(self) -> None:
        """Watch for as long as the task lives."""
        while True:
            await asyncio.sleep(RETRY_S / 2)
            if self.is_lost or self.is_doubtful():
                await self._check()
                await asyncio.sleep(RETRY_S)

    async def _check(self) -> None:
        life = await try_port(self.backend)
        if life is BackendLife.REFUSES and not self.is_lost:
            self.is_lost = True
            self.lost()
        elif life is BackendLife.LISTENS and self.is_lost:
            self.is_lost = False
            self.found()


async def try_port(backend: SocketAddress) -> BackendLife:
    """Connect to a server and close at once."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _reader, writer = await asyncio.open_connection(*backend)
    except ConnectionRefusedError:
        return BackendLife.REFUSES
    except (OSError, TimeoutError):
        return BackendLife.SILENT
    writer.close()
    return BackendLife.LISTENS
