"""Claim slots at peers and run requests there."""

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
from dragonflyshift._internal.sidecar.exchange import (
    build_request_head,
    forward_request,
)
from dragonflyshift._internal.sidecar.failures import NotRunError
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.request import Request, ResponseSink
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
MAX_PEERS_PER_CLAIM = 2
# A lease is used only up to this long before its end, so that it has not
# ended by the peer's clock either.
LEASE_MARGIN_SECONDS = 0.25


@define(eq=False)
class PeerReservation:
    """A slot that a peer holds for one request until the lease ends."""

    stream: MessageStream
    claim_id: int
    lease_ends_at: float
    tag: int

    async def run(self, req: Request, sink: ResponseSink) -> None:
        """Run the request at the peer; raise RunFailedError on failure."""
        if time.monotonic() > self.lease_ends_at:
            self.release()
            raise NotRunError('the lease of the slot ended')
        head = build_request_head(req.info, self.tag, self.claim_id)
        await forward_request(self.stream, head, req, sink)

    def release(self) -> None:
        """Release the slot unused."""
        self.stream.abort()


class PeerClaims:
    """Claims free slots at peers."""

    def __init__(
        self,
        identity: SidecarIdentity,
        keys: FleetKeys,
        members: MemberTable,
        choice: PeerChoice,
        rng: random.Random,
    ) -> None:
        """Claim at the peers that ``choice`` selects."""
        self._identity = identity
        self._keys = keys
        self._members = members
        self._choice = choice
        self._rng = rng

    def has_peers(self) -> bool:
        """Return whether any peer is known to be alive."""
        return any(
            record.state is MemberState.ALIVE for record in self._peer_records()
        )

    async def claim(self, req: Request) -> PeerReservation | None:
        """Claim a slot at a peer; return None if no peer grants one."""
        peers = self._peer_records()
        for peer in self._choice.order(peers, self._rng, MAX_PEERS_PER_CLAIM):
            reservation = await self._claim_slot(peer, req)
            if reservation is not None:
                return reservation
        return None

    async def claim_less_loaded(
        self,
        req: Request,
        free_slots: int,
    ) -> PeerReservation | None:
        """Claim a slot at a peer with more free slots than this sidecar.

        Returns None if there is no such peer or if it refuses.
        """
        peers = self._choice.choose_freer(
            free_slots, self._peer_records(), self._rng
        )
        return await self._claim_slot(peers[0], req) if peers else None

    async def claim_at(
        self,
        address: Address,
        req: Request,
    ) -> PeerReservation | None:
        """Claim a slot that a peer offered; return None if it refuses."""
        peer = self._members.record(address)
        return None if peer is None else await self._claim_slot(peer, req)

    def _peer_records(self) -> tuple[MemberRecord, ...]:
        return tuple(
            record
            for record in self._members.records()
            if record.address != self._identity.address
        )

    async def _claim_slot(
        self,
        peer: MemberRecord,
        req: Request,
    ) -> PeerReservation | None:
        stream: MessageStream | None = None
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                stream = await connect_stream(
                    peer.address,
                    self._keys,
                    CLAIM_TIMEOUT_SECONDS,
                )
                response = await self._exchange_claim(stream, peer, req)
        except (PeerError, WireError, TimeoutError) as exc:
            logger.debug('claim-failed', extra={'reason': str(exc)})
            response = None
        except asyncio.CancelledError:
            _abort(stream)
            raise
        if stream is None or not isinstance(response, ClaimGranted):
            _abort(stream)
            return None
        lease = response.lease_ms / MS_PER_SECOND - LEASE_MARGIN_SECONDS
        return PeerReservation(
            stream,
            response.claim_id,
            time.monotonic() + lease,
            self._identity.tag,
        )

    async def _exchange_claim(
        self,
        stream: MessageStream,
        peer: MemberRecord,
        req: Request,
    ) -> Message:
        remaining = max(0, req.info.deadline - time.monotonic())
        await stream.send(
            ClaimRequest(
                tag=self._identity.tag,
                boot=peer.incarnation.boot,
                timeout_ms=int(remaining * MS_PER_SECOND),
                streaming=req.info.streaming,
                requester=self._identity.address,
            ),
        )
        response = await stream.receive()
        if isinstance(response, ClaimGranted | ClaimRefused):
            self._update_load(peer.address, response)
        return response

    def _update_load(
        self,
        address: Address,
        response: ClaimGranted | ClaimRefused,
    ) -> None:
        self._members.update_load(
            address,
            response.free_slots,
            response.queued,
            time.monotonic(),
        )


def _abort(stream: MessageStream | None) -> None:
    if stream is not None:
        stream.abort()
