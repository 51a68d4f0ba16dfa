"""Watch the own backend server: whether it is there, drains or is cold.

What the sidecar's own requests show goes before the health endpoint, which
may lag or mislead: a backend server that answers requests isn't taken for
dead, and a single odd health answer changes nothing.
"""

import asyncio
import enum
import logging
import time
from collections.abc import Callable

from dragonflyshift._internal.exceptions import BackendError
from dragonflyshift._internal.sidecar.backend import (
    BackendClient,
    BackendRequest,
)
from dragonflyshift._internal.sidecar.request import ReplayBody

logger = logging.getLogger(__name__)

HEALTH_TARGET = b'/health'
DRAINING_WORD = b'draining'
STATUS_SERVER_ERROR = 500
POLL_PERIOD_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 1.0
CONFIRMING_POLLS = 2
MAX_HEALTH_BYTES = 4096
_REQUEST = BackendRequest(
    method=b'GET',
    target=HEALTH_TARGET,
    headers=((b'host', b'backend'),),
    fresh=True,
)


class BackendState(enum.StrEnum):
    """What the backend server says of itself."""

    READY = 'ready'
    DRAINING = 'draining'
    UNREACHABLE = 'unreachable'
    UNHEALTHY = 'unhealthy'


class BackendWatch:
    """Poll the health endpoint; report a state that was seen twice."""

    def __init__(
        self,
        backend: BackendClient,
        changed: Callable[[BackendState], None],
        last_served_at: Callable[[], float],
    ) -> None:
        """Call ``changed``; ``served_at`` is when a request last succeeded."""
        self._backend = backend
        self._changed = changed
        self._last_served_at = last_served_at
        self._candidate = BackendState.READY
        self._seen = 0
        self.state = BackendState.READY

    async def run(self) -> None:
        """Poll for as long as the task lives."""
        while True:
            self._note(await self._poll())
            await asyncio.sleep(POLL_PERIOD_SECONDS)

    def _note(self, state: BackendState) -> None:
        if state is not self._candidate:
            self._candidate = state
            self._seen = 0
        self._seen += 1
        if state is self.state or self._seen < CONFIRMING_POLLS:
            return
        if state is BackendState.UNHEALTHY and self._serves():
            return
        logger.info('backend-state', extra={'state': state.value})
        self.state = state
        self._changed(state)

    def _serves(self) -> bool:
        served_ago = time.monotonic() - self._last_served_at()
        return served_ago < CONFIRMING_POLLS * POLL_PERIOD_SECONDS

    async def _poll(self) -> BackendState:
        try:
            async with asyncio.timeout(POLL_TIMEOUT_SECONDS):
                return await self._ask()
        except (BackendError, TimeoutError):
            return BackendState.UNREACHABLE

    async def _ask(self) -> BackendState:
        response = await self._backend.exchange(_REQUEST, ReplayBody().chunks())
        body = b''
        try:
            async for chunk in response.chunks():
                body = (body + chunk)[:MAX_HEALTH_BYTES]
        finally:
            await response.close()
        return _read_state(response.status, body)


def _read_state(status: int, body: bytes) -> BackendState:
    if DRAINING_WORD in body:
        return BackendState.DRAINING
    if status >= STATUS_SERVER_ERROR:
        return BackendState.UNHEALTHY
    return BackendState.READY
