"""The abstract base for requests with an idempotency key."""

from abc import abstractmethod

from dragonflyshift._internal.kernel.registry import Plugin
from dragonflyshift._internal.kernel.tasks import TaskGroup
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.request import (
    AnswerSink,
    Request,
    RequestInfo,
)
from dragonflyshift._internal.sidecar.runner_base import RunnerBase
from dragonflyshift._internal.state import KeyIssuer, OutcomeTable
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import Message
from dragonflyshift._internal.wire.stream import MessageStream


class KeyedRequests(Plugin, kind='keyed-requests'):
    """Issue idempotency keys, and serve requests that carry one."""

    @abstractmethod
    def __init__(
        self,
        identity: SidecarIdentity,
        keys: FleetKeys,
        issuer: KeyIssuer,
        outcomes: OutcomeTable,
        runner: RunnerBase,
        tasks: TaskGroup,
    ) -> None:
        """Run what this sidecar is the home of through ``runner``."""

    @property
    @abstractmethod
    def running(self) -> int:
        """Requests under a key that run here."""

    @abstractmethod
    def concerns(self, info: RequestInfo) -> bool:
        """Tell whether a request has a key or asks for one."""

    @abstractmethod
    async def serve(self, req: Request, sink: AnswerSink) -> None:
        """Answer a request of a flow; raise RunFailedError."""

    @abstractmethod
    async def serve_stream(
        self,
        stream: MessageStream,
        message: Message,
    ) -> None:
        """Serve a request that a peer sent to its home."""
