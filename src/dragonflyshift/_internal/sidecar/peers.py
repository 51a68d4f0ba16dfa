"""Claim a peer's slot and have it run a request."""

import asyncio
import logging
import random
import time

from attrs import define

from dragonflyshift._internal.exceptions import PeerError, WireError
from dragonflyshift._internal.membership import MemberTable
from dragonflyshift._internal.models import Address, MemberRecord, MemberState
from dragonflyshift._internal.routing import PeerChoice
from dragonflyshift._internal.sidecar.classify import MS_PER_SECOND
from dragonflyshift._internal.sidecar.exchange import head_of, pass_on
from dragonflyshift._internal.sidecar.failures import NotRunError
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.request import AnswerSink, Request
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import (
    ClaimGranted,
    ClaimRefused,
    ClaimRequest,
    Message,
)
from dragonflyshift._internal.wire.stream import MessageStream, connect_stream

logger = logging.getLogger(__name__)

CLAIM_TIMEOUT_SECONDS = 0.5
MAX_ASKED_PEERS = 2
# Redeem a lease only while it lasts on the peer's clock too.
LEASE_MARGIN_SECONDS = 0.25


@define(eq=False)
class PeerPlace:
    """A slot that a peer holds for one request, until the lease ends."""

    stream: MessageStream
    claim_id: int
    lease_ends_at: float
    tag: int

    async def run(self, req: Request, sink: AnswerSink) -> None:
        """Have the peer run the request; raise RunFailedError."""
        if time.monotonic() > self.lease_ends_at:
            self.release()
            raise NotRunError('the lease of the slot ended')
        head = head_of(req.info, self.tag, self.claim_id)
        await pass_on(self.stream, head, req, sink)

    def release(self) -> None:
        """Give the slot back unused."""
        self.stream.abort()


class PeerClaims:
    """Find a peer with a free slot."""

    def __init__(
        self,
        identity: SidecarIdentity,
        keys: FleetKeys,
        members: MemberTable,
        choice: PeerChoice,
        rng: random.Random,
    ) -> None:
        """Ask the peers that ``choice`` prefers."""
        self._identity = identity
        self._keys = keys
        self._members = members
        self._choice = choice
        self._rng = rng

    def has_peers(self) -> bool:
        """Tell whether a peer is known that takes work."""
        return any(
            record.state is MemberState.ALIVE for record in self._others()
        )

    async def claim(self, req: Request) -> PeerPlace | None:
        """Return a claimed slot, or None if no peer granted one."""
        peers = self._others()
        for peer in self._choice.order(peers, self._rng, MAX_ASKED_PEERS):
            place = await self._ask(peer, req)
            if place is not None:
                return place
        return None

    async def claim_freer(
        self,
        req: Request,
        free_slots: int,
    ) -> PeerPlace | None:
        """Claim a slot for a long request at a peer with more room."""
        peers = self._choice.choose_freer(free_slots, self._others(), self._rng)
        return await self._ask(peers[0], req) if peers else None

    async def claim_at(
        self,
        address: Address,
        req: Request,
    ) -> PeerPlace | None:
        """Claim a slot that a peer has offered."""
        peer = self._members.record(address)
        return None if peer is None else await self._ask(peer, req)

    def _others(self) -> tuple[MemberRecord, ...]:
        return tuple(
            record
            for record in self._members.records()
            if record.address != self._identity.address
        )

    async def _ask(
        self,
        peer: MemberRecord,
        req: Request,
    ) -> PeerPlace | None:
        stream: MessageStream | None = None
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                stream = await connect_stream(
                    peer.address,
                    self._keys,
                    CLAIM_TIMEOUT_SECONDS,
                )
                answer = await self._exchange_claim(stream, peer, req)
        except (PeerError, WireError, TimeoutError) as exc:
            logger.debug('claim-failed', extra={'reason': str(exc)})
            answer = None
        except asyncio.CancelledError:
            _abort(stream)
            raise
        if stream is None or not isinstance(answer, ClaimGranted):
            _abort(stream)
            return None
        lease = answer.lease_ms / MS_PER_SECOND - LEASE_MARGIN_SECONDS
        return PeerPlace(
            stream,
            answer.claim_id,
            time.monotonic() + lease,
            self._identity.tag,
        )

    async def _exchange_claim(
        self,
        stream: MessageStream,
        peer: MemberRecord,
        req: Request,
    ) -> Message:
        left = max(0, req.info.deadline - time.monotonic())
        await stream.send(
            ClaimRequest(
                tag=self._identity.tag,
                boot=peer.incarnation.boot,
                timeout_ms=int(left * MS_PER_SECOND),
                streaming=req.info.streaming,
                asker=self._identity.address,
            ),
        )
        answer = await stream.receive()
        if isinstance(answer, ClaimGranted | ClaimRefused):
            self._update_load(peer.address, answer)
        return answer

    def _update_load(
        self,
        address: Address,
        answer: ClaimGranted | ClaimRefused,
    ) -> None:
        self._members.update_load(
            address,
            answer.free_slots,
            answer.queued,
            time.monotonic(),
        )


def _abort(stream: MessageStream | None) -> None:
    if stream is not None:
        stream.abort()
