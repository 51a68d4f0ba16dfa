"""The graceful shutdown of a sidecar."""

import asyncio
import logging
import time
from collections.abc import Callable

from dragonflyshift._internal.sidecar.flows import FlowTable
from dragonflyshift._internal.sidecar.handover import OutcomeHandover

logger = logging.getLogger(__name__)

POLL_SECONDS = 0.1
# Long enough for the word about leaving to reach peers and balancers.
ANNOUNCE_SECONDS = 1.0
# A flow that was quiet for this long is closed.
QUIET_SECONDS = 0.5
# Requests on their way while a flow is closed are still rejected as not run.
REJECT_SECONDS = 0.3


class Drainer:
    """Wait until nothing is in progress, close flows, move outcomes."""

    def __init__(
        self,
        flows: FlowTable,
        busy: Callable[[], int],
        handover: OutcomeHandover,
    ) -> None:
        """Ask ``busy`` for the requests in progress besides those of flows."""
        self._flows = flows
        self._busy = busy
        self._handover = handover

    async def drain(self, limit: float) -> None:
        """Return once all requests ended, or after ``limit`` s if not 0."""
        ends_at = time.monotonic() + limit if limit else float('inf')
        for flow in self._flows:
            flow.announce_leaving()
        await asyncio.sleep(ANNOUNCE_SECONDS)
        while self._in_progress() and time.monotonic() < ends_at:
            self._close_quiet_flows()
            await asyncio.sleep(POLL_SECONDS)
        await self._close_all_flows()
        await self._handover.hand_over()

    def _in_progress(self) -> bool:
        return self._busy() > 0 or any(
            flow.open_requests or not self._quiet(flow.last_request_at)
            for flow in self._flows
        )

    def _quiet(self, last_request_at: float) -> bool:
        return time.monotonic() - last_request_at > QUIET_SECONDS

    def _close_quiet_flows(self) -> None:
        for flow in self._flows:
            if not flow.open_requests and self._quiet(flow.last_request_at):
                flow.close_gently(REJECT_SECONDS)

    async def _close_all_flows(self) -> None:
        for flow in self._flows:
            flow.close_gently(REJECT_SECONDS)
        await asyncio.sleep(2 * REJECT_SECONDS)
