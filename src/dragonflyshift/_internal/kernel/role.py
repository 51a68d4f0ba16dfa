"""The abstract base class of daemon roles."""

from abc import abstractmethod

from dragonflyshift._internal.kernel.registry import Plugin
from dragonflyshift._internal.kernel.settings import Settings


class DaemonRole(Plugin, kind='role'):
    """A role of the daemon, with its lifecycle.

    The daemon calls ``start`` once, ``drain`` when it receives a stop signal,
    and ``close`` at the end, even if ``start`` or ``drain`` failed.
    """

    def __init__(self, settings: Settings) -> None:
        """Store the settings; ``start`` opens the sockets."""
        self.settings = settings

    @abstractmethod
    async def start(self) -> None:
        """Open the sockets and start serving; return when ready."""

    @abstractmethod
    async def drain(self) -> None:
        """Accept no new work; return once no work is in progress."""

    @abstractmethod
    async def close(self) -> None:
        """Close all sockets and cancel all tasks."""
