"""Abstract base class of handlers for requests with an idempotency key."""

from abc import abstractmethod
from collections.abc import Callable, Sequence

from dragonflyshift._internal.kernel.registry import Plugin
from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.request import (
    Request,
    RequestInfo,
    ResponseSink,
)
from dragonflyshift._internal.sidecar.running import RunnerBase
from dragonflyshift._internal.state import KeyIssuer, OutcomeTable
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import Message
from dragonflyshift._internal.wire.stream import MessageStream


class KeyedRequests(Plugin, kind='keyed-requests'):
    """Issues idempotency keys, and serves requests that carry one."""

    @abstractmethod
    def __init__(
        self,
        identity: SidecarIdentity,
        keys: FleetKeys,
        issuer: KeyIssuer,
        outcomes: OutcomeTable,
        runner: RunnerBase,
        tasks: BackgroundTasks,
        peers: Callable[[], Sequence[Address]],
    ) -> None:
        """Run requests whose key this sidecar owns through ``runner``.

        ``peers`` returns the addresses of the other live sidecars of the
        service.
        """

    @property
    @abstractmethod
    def running(self) -> int:
        """Number of requests with a key that are running here."""

    @abstractmethod
    def handles(self, info: RequestInfo) -> bool:
        """Return whether a request has a key or requests a new key."""

    @abstractmethod
    async def serve(self, req: Request, sink: ResponseSink) -> None:
        """Handle a request of a flow; raise RunFailedError if it fails."""

    @abstractmethod
    async def serve_stream(
        self,
        stream: MessageStream,
        message: Message,
    ) -> None:
        """Serve a request that a peer forwarded to the key owner.

        Raises WireError if the message is no request of this service.
        """
