"""Reads status reports from running daemons."""

import asyncio
import json

import cattrs

from dragonflyshift._internal.exceptions import DragonflyshiftError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.models.reports import StatusReport
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import StatusReply, StatusRequest
from dragonflyshift._internal.wire.stream import connect_stream

TIMEOUT_SECONDS = 2.0


async def read_status(address: Address, keys: str) -> StatusReport | None:
    """Return a daemon's status report, or None if the request fails.

    A request fails after ``TIMEOUT_SECONDS``.
    """
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await _request_status(address, FleetKeys.parse(keys))
    except (TimeoutError, OSError, DragonflyshiftError):
        return None


async def _request_status(
    address: Address, keys: FleetKeys
) -> StatusReport | None:
    stream = await connect_stream(address, keys, TIMEOUT_SECONDS)
    try:
        await stream.send(StatusRequest())
        reply = await stream.receive()
    finally:
        await stream.close()
    if not isinstance(reply, StatusReply):
        return None
    return cattrs.structure(json.loads(reply.report), StatusReport)
