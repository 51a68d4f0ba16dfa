"""Reader of the configuration documents of a peer."""

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


class PeerDocumentReader:
    """Reads documents of a peer one after another over one stream."""

    def __init__(self, stream: MessageStream, peer: Address) -> None:
        """Use an open stream."""
        self._stream = stream
        self._peer = peer

    async def fetch(self, key: str) -> bytes:
        """Return the bytes of a document.

        Raises MissingDocumentError if the peer does not hold it, and
        PeerError, WireError or TimeoutError if the exchange fails. After any
        error but MissingDocumentError the stream can't be used any more.
        """
        async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
            await self._stream.send(DocumentRequest(key, 0))
            reply = await self._stream.receive()
        if not isinstance(reply, DocumentReply) or reply.key != key:
            raise WireError(
                f'the peer replied with an unexpected {type(reply).__name__}',
                context=key,
            )
        if not reply.raw:
            raise MissingDocumentError(
                f'the peer does not hold the document {key}',
                context=str(self._peer),
            )
        return reply.raw


@asynccontextmanager
async def open_peer_documents(
    peer: Address,
    keys: FleetKeys,
) -> AsyncIterator[PeerDocumentReader]:
    """Connect to a peer; the stream is aborted when the context exits."""
    stream = await connect_stream(peer, keys, PEER_TIMEOUT_SECONDS)
    try:
        yield PeerDocumentReader(stream, peer)
    finally:
        stream.abort()
