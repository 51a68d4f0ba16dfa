"""Abstract base class of request runners."""

from abc import ABC, abstractmethod

from dragonflyshift._internal.sidecar.request import Request, ResponseSink


class RunnerBase(ABC):
    """Runs requests to completion."""

    @abstractmethod
    async def run(self, req: Request, sink: ResponseSink) -> None:
        """Run a request; raise RunFailedError if the response is incomplete."""
