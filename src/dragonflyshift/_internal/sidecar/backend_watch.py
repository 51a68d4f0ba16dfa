"""Watch the health endpoint of the local backend server.

The requests of the sidecar take precedence over the health endpoint, which
may lag or be wrong: a backend server that responds to requests isn't reported
as unhealthy, and a single deviating health response has no effect.
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
DRAINING_MARKER = b'draining'
STATUS_SERVER_ERROR = 500
POLL_PERIOD_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 1.0
CONFIRMING_POLLS = 2
MAX_HEALTH_BYTES = 4096
_REQUEST = BackendRequest(
    method=b'GET',
    target=HEALTH_TARGET,
    headers=((b'host', b'backend'),),
    new_connection=True,
)


class BackendState(enum.StrEnum):
    """The state that the health endpoint reports."""

    READY = 'ready'
    DRAINING = 'draining'
    UNREACHABLE = 'unreachable'
    UNHEALTHY = 'unhealthy'


class BackendWatch:
    """Polls the health endpoint and reports confirmed changes of state.

    A state is confirmed by ``CONFIRMING_POLLS`` consecutive polls.
    """

    def __init__(
        self,
        backend: BackendClient,
        on_change: Callable[[BackendState], None],
        last_served_at: Callable[[], float],
    ) -> None:
        """Report confirmed states to ``on_change``.

        ``last_served_at`` returns the monotonic time of the last response.
        """
        self._backend = backend
        self._on_change = on_change
        self._last_served_at = last_served_at
        self._pending_state = BackendState.READY
        self._consecutive_polls = 0
        self.state = BackendState.READY

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._record(await self._poll())
            await asyncio.sleep(POLL_PERIOD_SECONDS)

    def _record(self, state: BackendState) -> None:
        if state is not self._pending_state:
            self._pending_state = state
            self._consecutive_polls = 0
        self._consecutive_polls += 1
        if state is self.state or self._consecutive_polls < CONFIRMING_POLLS:
            return
        if state is BackendState.UNHEALTHY and self._served_recently():
            return
        logger.info('backend-state', extra={'state': state.value})
        self.state = state
        self._on_change(state)

    def _served_recently(self) -> bool:
        seconds_since_served = time.monotonic() - self._last_served_at()
        return seconds_since_served < CONFIRMING_POLLS * POLL_PERIOD_SECONDS

    async def _poll(self) -> BackendState:
        try:
            async with asyncio.timeout(POLL_TIMEOUT_SECONDS):
                return await self._request_health()
        except (BackendError, TimeoutError):
            return BackendState.UNREACHABLE

    async def _request_health(self) -> BackendState:
        response = await self._backend.exchange(_REQUEST, ReplayBody().chunks())
        body = b''
        try:
            async for chunk in response.chunks():
                body = (body + chunk)[:MAX_HEALTH_BYTES]
        finally:
            await response.close()
        return _parse_state(response.status, body)


def _parse_state(status: int, body: bytes) -> BackendState:
    if DRAINING_MARKER in body:
        return BackendState.DRAINING
    if status >= STATUS_SERVER_ERROR:
        return BackendState.UNHEALTHY
    return BackendState.READY
