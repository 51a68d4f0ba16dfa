"""The abstract base of what a daemon does."""

from abc import abstractmethod

from dragonflyshift._internal.kernel.registry import Plugin
from dragonflyshift._internal.kernel.settings import Settings


class DaemonRole(Plugin, kind='role'):
    """A role of the daemon, with its lifecycle.

    The daemon calls ``start`` once, ``drain`` when it is told to stop, and
    ``close`` at the end, also when ``start`` or ``drain`` failed.
    """

    def __init__(self, settings: Settings) -> None:
        """Keep the settings; open nothing yet."""
        self.settings = settings

    @abstractmethod
    async def start(self) -> None:
        """Open sockets and start serving; return when ready."""

    @abstractmethod
    async def drain(self) -> None:
        """Take no new work and return once nothing is in progress."""

    @abstractmethod
    async def close(self) -> None:
        """Close all sockets and end all tasks."""
