"""Graceful shutdown of a sidecar."""

import asyncio
import logging
import time
from collections.abc import Callable

from dragonflyshift._internal.sidecar.flows import FlowTable
from dragonflyshift._internal.sidecar.handover import OutcomeHandover

logger = logging.getLogger(__name__)

POLL_SECONDS = 0.1
# Long enough for the leaving state to reach peers and balancers.
ANNOUNCE_SECONDS = 1.0
# A flow without requests for this long is closed.
FLOW_IDLE_SECONDS = 0.5
# A closing flow still rejects requests in transit, as not run, for this long.
REJECT_SECONDS = 0.3


class Drainer:
    """Waits for running requests, closes flows, hands over outcomes."""

    def __init__(
        self,
        flows: FlowTable,
        count_running: Callable[[], int],
        handover: OutcomeHandover,
    ) -> None:
        """Count requests beyond those of open flows with ``count_running``."""
        self._flows = flows
        self._count_running = count_running
        self._handover = handover

    async def drain(self, limit: float) -> None:
        """Wait for all requests, then close all flows and hand over.

        The wait ends after ``limit`` seconds; 0 means no limit.
        """
        ends_at = time.monotonic() + limit if limit else float('inf')
        for flow in self._flows:
            flow.announce_leaving()
        await asyncio.sleep(ANNOUNCE_SECONDS)
        while self._in_progress() and time.monotonic() < ends_at:
            self._close_idle_flows()
            await asyncio.sleep(POLL_SECONDS)
        await self._close_all_flows()
        await self._hand_over(ends_at)

    async def _hand_over(self, ends_at: float) -> None:
        """Hand over the outcomes until none of them is still unknown.

        A peer may forward a request until the outcome table is frozen, which
        the first handover does.
        """
        while True:
            is_running = self._count_running() > 0
            await self._handover.hand_over()
            if not is_running or time.monotonic() >= ends_at:
                return
            await asyncio.sleep(POLL_SECONDS)

    def _in_progress(self) -> bool:
        return self._count_running() > 0 or any(
            flow.open_requests or not self._is_idle(flow.last_request_at)
            for flow in self._flows
        )

    def _is_idle(self, last_request_at: float) -> bool:
        return time.monotonic() - last_request_at > FLOW_IDLE_SECONDS

    def _close_idle_flows(self) -> None:
        for flow in self._flows:
            if not flow.open_requests and self._is_idle(flow.last_request_at):
                flow.close_gracefully(REJECT_SECONDS)

    async def _close_all_flows(self) -> None:
        for flow in self._flows:
            flow.close_gracefully(REJECT_SECONDS)
        await asyncio.sleep(2 * REJECT_SECONDS)
