"""Documents that a peer holds, read over one stream."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from dragonflyshift._internal.config import MissingDocumentError
from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import (
    DocumentReply,
    DocumentRequest,
)
from dragonflyshift._internal.wire.stream import MessageStream, connect_stream

PEER_TIMEOUT_SECONDS = 2.0


class PeerDocuments:
    """Ask a peer for one document after another."""

    def __init__(self, stream: MessageStream, peer: Address) -> None:
        """Use an open stream."""
        self._stream = stream
        self._peer = peer

    async def fetch(self, key: str) -> bytes:
        """Return a document; raise PeerError or WireError when that fails.

        After any error but MissingDocumentError the stream is of no use.
        """
        async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
            await self._stream.send(DocumentRequest(key, 0))
            reply = await self._stream.receive()
        if not isinstance(reply, DocumentReply) or reply.key != key:
            raise WireError('another answer is expected', context=key)
        if not reply.raw:
            raise MissingDocumentError(
                f'no document {key}',
                context=str(self._peer),
            )
        return reply.raw


@asynccontextmanager
async def open_documents(
    peer: Address,
    keys: FleetKeys,
) -> AsyncIterator[PeerDocuments]:
    """Connect to a peer and close the stream in the end."""
    stream = await connect_stream(peer, keys, PEER_TIMEOUT_SECONDS)
    try:
        yield PeerDocuments(stream, peer)
    finally:
        stream.abort()
