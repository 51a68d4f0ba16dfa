"""A sidecar's handling of idempotency keys, without flows and members."""

import time
from collections.abc import Sequence

from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.models import Address, IdempotencyKey
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.keyed import KeyOwnerRouting
from dragonflyshift._internal.sidecar.request import (
    HeaderList,
    ReplayBody,
    Request,
    RequestInfo,
    ResponseSink,
)
from dragonflyshift._internal.sidecar.running import RunnerBase
from dragonflyshift._internal.state import KeyIssuer, OutcomeTable
from dragonflyshift._internal.wire import ConnectionIdCodec
from dragonflyshift._internal.wire.stream import MessageStream
from tests.lib.builders import build_fleet_keys

KEYS = build_fleet_keys()
TAG = 3
CAPACITY = 100
RETENTION_S = 60
TIMEOUT_S = 30


class RecordingSink(ResponseSink):
    """Stores a response."""

    def __init__(self) -> None:
        """Create a sink without a response."""
        self.status = 0
        self.body = b''

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self.status > 0

    async def send_head(self, status: int, headers: HeaderList) -> None:
        """Store the status."""
        self.status = status

    async def send_chunk(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Do nothing."""

    async def abort(self) -> None:
        """Do nothing."""


class KeyedSidecar(RunnerBase):
    """Runs requests at most once for each key, and counts the runs."""

    def __init__(
        self,
        address: Address,
        boot: int,
        tasks: BackgroundTasks,
        peers: Sequence[Address] = (),
    ) -> None:
        """Create a sidecar whose live peers are ``peers``."""
        self.address = address
        self.runs = 0
        self._issuer = KeyIssuer(KEYS, address, boot, TAG)
        self.outcomes = OutcomeTable(
            CAPACITY,
            RETENTION_S,
            owner=address,
            boot=boot,
            last_issued_nonce=lambda: self._issuer.last_issued_nonce,
        )
        self.keyed = KeyOwnerRouting(
            SidecarIdentity(address, TAG, boot, ConnectionIdCodec(KEYS)),
            KEYS,
            self._issuer,
            self.outcomes,
            self,
            tasks,
            lambda: peers,
        )

    def issue(self) -> bytes:
        """Issue an idempotency key."""
        return self._issuer.issue()

    def parse(self, key: bytes) -> IdempotencyKey:
        """Return the contents of an idempotency key."""
        return self._issuer.parse(key)

    async def run(self, req: Request, sink: ResponseSink) -> None:
        """Count a run and respond to it."""
        self.runs += 1
        await sink.send_head(201, ())
        await sink.finish()

    async def serve(self, stream: MessageStream) -> None:
        """Serve a request that a peer forwards."""
        await self.keyed.serve_stream(stream, await stream.receive())


def save_request(key: bytes) -> Request:
    """Return a save with an idempotency key."""
    info = RequestInfo(
        method=b'POST',
        target=b'/tickets',
        headers=(),
        deadline=time.monotonic() + TIMEOUT_S,
        idempotent=False,
        streaming=False,
        client=b'',
        key=key,
    )
    return Request(info, ReplayBody())
