"""The abstract base of whatever runs a request."""

from abc import ABC, abstractmethod

from dragonflyshift._internal.sidecar.request import AnswerSink, Request


class Runs(ABC):
    """Run requests to their ends."""

    @abstractmethod
    async def run(self, req: Request, sink: AnswerSink) -> None:
        """Run a request; raise RunFailedError when it got no whole answer."""
