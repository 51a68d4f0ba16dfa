"""Hand over the outcomes of a stopping sidecar to its peers."""

import asyncio
import itertools
import logging
import time

from dragonflyshift._internal.exceptions import PeerError, WireError
from dragonflyshift._internal.membership import MemberTable, live_peers
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.sidecar.exchange import receive_within
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.state import (
    OutcomeTable,
    TransferPart,
    transfer_parts,
)
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import (
    Message,
    OutcomeTransfer,
    OutcomeTransferred,
)
from dragonflyshift._internal.wire.stream import MessageStream, connect_stream

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 1.0
RESPONSE_TIMEOUT_SECONDS = 2.0


class OutcomeHandover:
    """Sends the outcome table to all peers, and adopts theirs."""

    def __init__(
        self,
        identity: SidecarIdentity,
        keys: FleetKeys,
        members: MemberTable,
        outcomes: OutcomeTable,
    ) -> None:
        """Hand over ``outcomes`` of ``identity``."""
        self._identity = identity
        self._keys = keys
        self._members = members
        self._outcomes = outcomes

    async def hand_over(self) -> int:
        """Freeze and send the table; return how many peers adopted it."""
        parts = self._parts()
        peers = live_peers(self._members)
        results = await asyncio.gather(
            *(self._send(peer, parts) for peer in peers),
        )
        logger.info(
            'outcomes-handed-over',
            extra={'peers': sum(results), 'asked': len(peers)},
        )
        return sum(results)

    async def adopt(self, stream: MessageStream, message: Message) -> None:
        """Adopt a part of the outcomes of a stopping peer."""
        if not isinstance(message, OutcomeTransfer):
            raise WireError(f'expected outcomes, got {type(message).__name__}')
        self._outcomes.adopt(
            message.owner,
            message.boot,
            message.entries,
            complete=message.complete,
            floor=message.floor,
            part=TransferPart(message.transfer, message.part),
            now=time.monotonic(),
        )
        await stream.send(OutcomeTransferred())

    def _parts(self) -> tuple[OutcomeTransfer, ...]:
        """Return the own outcomes and those adopted from other key owners.

        When all instances are replaced one by one, the peers that adopted
        the outcomes of the first one are stopped as well.
        """
        own = transfer_parts(
            self._identity.address,
            self._identity.first_boot,
            self._outcomes.freeze(),
            self._outcomes.floor,
        )
        adopted = (
            transfer_parts(
                adopted_home.address,
                adopted_home.boot,
                adopted_home.entries,
                adopted_home.floor,
            )
            for adopted_home in self._outcomes.adopted_owners()
        )
        return (*own, *itertools.chain.from_iterable(adopted))

    async def _send(
        self,
        peer: Address,
        parts: tuple[OutcomeTransfer, ...],
    ) -> bool:
        try:
            await self._send_parts(peer, parts)
        except (PeerError, WireError) as exc:
            logger.warning(
                'handover-failed',
                extra={'peer': str(peer), 'reason': exc.message},
            )
            return False
        return True

    async def _send_parts(
        self,
        peer: Address,
        parts: tuple[OutcomeTransfer, ...],
    ) -> None:
        stream = await connect_stream(
            peer,
            self._keys,
            CONNECT_TIMEOUT_SECONDS,
        )
        try:
            for part in parts:
                await stream.send(part)
                response = await receive_within(
                    stream, RESPONSE_TIMEOUT_SECONDS
                )
                if not isinstance(response, OutcomeTransferred):
                    raise PeerError(
                        'the peer did not confirm the outcomes, it sent '
                        f'{type(response).__name__}',
                    )
        finally:
            stream.abort()
